"""Transfer of an agent's closed ledgers to successors on a planned stop."""

from collections.abc import Sequence

from trio import current_time

from balsamtide.protocol.messages import TenureClosed
from balsamtide.requests.hand_off_client import HandOffClient
from balsamtide.requests.home import Home
from balsamtide.requests.ledger import LedgerSnapshot
from balsamtide.requests.succession import SuccessorSelection

__all__ = ["transfer_ledgers"]


async def transfer_ledgers(
    client: HandOffClient,
    home: Home,
    candidates: Sequence[int],
    *,
    instance: str,
    incarnation: int,
) -> Sequence[TenureClosed]:
    """Send each ledger of a closed home to one successor.

    Call it once, after ``Home.close`` and after the last started request ended;
    requests still in progress are transferred as ``MAY_HAVE_RUN``.

    Parameters
    ----------
    client : HandOffClient
        Connections to the peers.
    home : Home
        Home that was closed.
    candidates : sequence of int
        Target numbers as returned by ``balsamtide.requests.succession.successors``,
        best first.
    instance : str
        Instance identifier, for the announcements.
    incarnation : int
        Random number that identifies this run of the process, for the announcements.

    Returns
    -------
    announcements : sequence of TenureClosed
        Announcements to send to the peers of the service; none for a ledger that no
        candidate adopted, whose outcomes are lost.
    """
    announcements = []
    for ledger in (home.ledger, *home.adopted.values()):
        snapshot = ledger.snapshot(current_time())
        successor = await _send(client, snapshot, SuccessorSelection(candidates))
        if successor is not None:
            announcements.append(
                TenureClosed(
                    instance,
                    incarnation,
                    home.service,
                    snapshot.target,
                    snapshot.tenure,
                    successor,
                )
            )
    return announcements


async def _send(
    client: HandOffClient, snapshot: LedgerSnapshot, selection: SuccessorSelection
) -> int | None:
    while (candidate := selection.candidate) is not None:
        selection.record(await client.send_ledger(candidate, snapshot))
    return selection.successor
