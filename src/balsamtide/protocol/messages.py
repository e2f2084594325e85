"""Messages between processes, one class a message.

Every message is a frozen MessagePack array whose first element is the tag.
Durations on the wire are microseconds; no clock reading ever leaves a process.
Fields are only ever added at the end, with a default.
"""

from msgspec import Struct

__all__ = [
    "ChainDigest",
    "Endpoint",
    "Entry",
    "Forward",
    "Heartbeat",
    "HeartbeatAnswer",
    "LoadReport",
    "Mark",
    "Message",
    "PatchOperation",
    "Pull",
    "Push",
    "Reply",
    "TenureClosed",
]


class Endpoint(Struct, frozen=True, array_like=True):
    """An IP address and a port."""

    host: str
    port: int


class PatchOperation(
    Struct, frozen=True, omit_defaults=True, rename={"source": "from"}
):
    """One operation of an RFC 6902 patch."""

    op: str
    path: str
    value: object = None
    source: str | None = None


class Entry(Struct, frozen=True):
    """One numbered patch of the published log.

    Parameters
    ----------
    number : int
        Position in the log, from 1, without gaps.
    base : int
        The version in force that the operator saw when writing the patch.
    patch : tuple of PatchOperation
        What changes.
    actor : str
        Who submitted it, as the platform names them.
    """

    number: int
    base: int
    patch: tuple[PatchOperation, ...]
    actor: str = ""


class Mark(Struct, frozen=True, array_like=True):
    """A claim about the liveness of an instance or a whole availability zone.

    Parameters
    ----------
    subject : str
        Instance identifier, or ``zone:NAME`` for a whole availability zone.
    kind : str
        ``"leaving"`` or ``"suspect"``.
    observer : str
        The instance that makes the claim.
    incarnation : int
        Incarnation of the subject that the claim is about.
    remaining_us : int
        Time left until the claim expires.
    """

    subject: str
    kind: str
    observer: str
    incarnation: int
    remaining_us: int


class Forward(Struct, frozen=True, array_like=True, tag=1):
    """A caller's datagram on its way to an agent.

    Parameters
    ----------
    caller : Endpoint
        Where the datagram came from.
    service : int
        Number of the service whose address it came to.
    address : str
        Name of that address.
    version : int
        Configuration version the sender routed by.
    hops : int
        0 from a balancer, 1 from an agent that steered it on.
    elapsed_us : int
        Time the datagram spent inside balsamtide so far.
    reply_to : Endpoint
        Inner endpoint of the balancer that received it.
    payload : bytes
        The datagram.
    """

    caller: Endpoint
    service: int
    address: str
    version: int
    hops: int
    elapsed_us: int
    reply_to: Endpoint
    payload: bytes


class Reply(Struct, frozen=True, array_like=True, tag=2):
    """A datagram on its way from an agent to a caller.

    Parameters
    ----------
    caller : Endpoint
        Where the balancer sends the payload.
    service : int
        Number of the service it is sent for.
    address : str
        Name of the service's address it is sent from.
    payload : bytes
        The datagram.
    """

    caller: Endpoint
    service: int
    address: str
    payload: bytes


class Heartbeat(Struct, frozen=True, array_like=True, tag=3):
    """A question whether a path and the process behind it are alive."""

    sender: str
    incarnation: int
    nonce: int


class HeartbeatAnswer(Struct, frozen=True, array_like=True, tag=4):
    """The answer to a heartbeat, carrying its nonce."""

    sender: str
    incarnation: int
    nonce: int


class Push(Struct, frozen=True, array_like=True, tag=5):
    """New log entries and marks, spread to some peers."""

    sender: str
    incarnation: int
    entries: tuple[Entry, ...]
    marks: tuple[Mark, ...]


class ChainDigest(Struct, frozen=True, array_like=True, tag=6):
    """How far the sender has the log, and what it believes of its peers.

    Parameters
    ----------
    sender : str
        Instance identifier.
    incarnation : int
        Incarnation of the sender.
    number : int
        Last entry held.
    chain : bytes
        Hash over all entries up to ``number``.
    marks : bytes
        Hash over the marks believed.
    wants_answer : bool
        Whether the receiver answers with its own digest.
    """

    sender: str
    incarnation: int
    number: int
    chain: bytes
    marks: bytes
    wants_answer: bool


class Pull(Struct, frozen=True, array_like=True, tag=7):
    """A request for the entries after ``after``, and for all marks if asked."""

    sender: str
    incarnation: int
    after: int
    wants_marks: bool


class LoadReport(Struct, frozen=True, array_like=True, tag=8):
    """What an agent can take on for its peers of the same service.

    Parameters
    ----------
    sender : str
        Instance identifier.
    incarnation : int
        Incarnation of the sender.
    service : int
        Service number.
    target : int
        Target number.
    free_slots : int
        Slots that are free now.
    short_wait_us : int
        Expected wait of a short request that arrives now.
    long_wait_us : int
        Expected wait of a long request that arrives now.
    state : str
        ``"ready"``, ``"cold"``, ``"draining"`` or ``"full"``.
    tenure : int
        Tenure of the agent's ledger.
    busy_permille : int
        Recent share of the target's slot time in use.
    """

    sender: str
    incarnation: int
    service: int
    target: int
    free_slots: int
    short_wait_us: int
    long_wait_us: int
    state: str
    tenure: int
    busy_permille: int = 0


class TenureClosed(Struct, frozen=True, array_like=True, tag=9):
    """A ledger was closed for good and handed to a successor.

    Parameters
    ----------
    sender : str
        Instance identifier of the agent that closed its ledger.
    incarnation : int
        Incarnation of the sender.
    service : int
        Service number.
    target : int
        Target number whose tenure ended.
    tenure : int
        The tenure that ended.
    successor : int
        Target number whose agent holds the ledger now.
    """

    sender: str
    incarnation: int
    service: int
    target: int
    tenure: int
    successor: int


Message = (
    Forward
    | Reply
    | Heartbeat
    | HeartbeatAnswer
    | Push
    | ChainDigest
    | Pull
    | LoadReport
    | TenureClosed
)
