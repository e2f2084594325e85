"""Real membership objects on an in-memory network with virtual time.

It exists to measure and test one protocol: datagrams are encoded, may be lost or
delayed, and members may pause, die, restart or be partitioned.  Everything follows
from the seed.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from time import thread_time_ns

from balsamtide.config.port import Instance
from balsamtide.membership import Membership, MembershipLimits, PushWithExchange
from balsamtide.membership.dissemination import Dissemination
from balsamtide.membership.log import EntryLog
from balsamtide.protocol.actions import Send
from balsamtide.protocol.datagram import DatagramCodec, MacKeys
from balsamtide.protocol.messages import Endpoint, Push
from balsamtide.telemetry.memory_sink import MemorySink

__all__ = ["Fleet", "FleetRules", "Member", "make_instances"]

# Octets of the IP and UDP headers of one datagram.
UDP_HEADER_BYTES = 28
KEYS = MacKeys(current=1, keys={1: bytes(range(32))})


def make_instances(
    size: int, *, zones: Sequence[str] = ("a", "b", "c"), role: str = "agent"
) -> list[Instance]:
    """Return ``size`` instances, spread over ``zones`` in turn."""
    return [
        Instance(
            name=f"{role}-{number}",
            role=role,
            region="region",
            zone=zones[number % len(zones)],
            inner=Endpoint(f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 1),
            rpc=Endpoint(f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 2),
        )
        for number in range(size)
    ]


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetRules:
    """How the network and the members behave.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    loss : float
        Share of datagrams that are lost.
    duplicates : float
        Share of datagrams that arrive twice.
    shortest_delay_s, longest_delay_s : float
        Bounds of the uniform one-way delay.
    limits : MembershipLimits
        Limits of all members.
    spreading : type of Dissemination
        How news spreads.
    """

    seed: int = 1
    loss: float = 0.0
    duplicates: float = 0.0
    shortest_delay_s: float = 0.0003
    longest_delay_s: float = 0.0015
    limits: MembershipLimits = field(default_factory=MembershipLimits)
    spreading: type[Dissemination] = PushWithExchange


@dataclass(slots=True)
class Member:
    """One process of the fleet.

    Parameters
    ----------
    instance : Instance
        Its line of the list.
    log : EntryLog
        What it holds.
    sink : MemorySink
        What it reported.
    membership : Membership
        The real object.
    wakes_at : float
        End of its pause.
    is_dead : bool
        Whether it was killed.
    backlog : list
        Datagrams that arrived during a pause.
    scheduled : float
        Time of its next tick event.
    """

    instance: Instance
    log: EntryLog
    sink: MemorySink
    membership: Membership
    wakes_at: float = 0.0
    is_dead: bool = False
    backlog: list[tuple[bytes, Endpoint]] = field(default_factory=list)
    scheduled: float = float("inf")


class Fleet:
    """All members, the network between them and the clock.

    Parameters
    ----------
    instances : sequence of Instance
        Members.
    make_log : callable
        Makes the log of one member, given its sink.
    rules : FleetRules
        Network and limits.
    """

    def __init__(
        self,
        instances: Sequence[Instance],
        *,
        make_log: Callable[[MemorySink], EntryLog],
        rules: FleetRules,
    ) -> None:
        self.instances = list(instances)
        self.make_log = make_log
        self.rules = rules
        self.random = Random(rules.seed)
        self.codec = DatagramCodec(KEYS)
        self.now = 1000.0
        self.order = count()
        self.queue: list[tuple[float, int, str, Endpoint, bytes | None]] = []
        self.blocked: Callable[[Instance, Instance], bool] | None = None
        self.sent = 0
        self.sent_bytes = 0
        self.handled = 0
        self.cpu_ns = 0
        self.largest_bytes = 0
        self.pushes = 0
        self.members: dict[str, Member] = {}
        self.by_endpoint: dict[Endpoint, Member] = {}
        for instance in self.instances:
            self.start(instance)
        for member in list(self.members.values()):
            self.give_list(member)

    def start(self, instance: Instance, *, log: EntryLog | None = None) -> Member:
        """Start a member, or start it anew with an empty state."""
        sink = MemorySink()
        held = log if log is not None else self.make_log(sink)
        membership = Membership(
            instance,
            incarnation=self.random.getrandbits(32),
            log=held,
            sink=sink,
            random=Random(self.random.getrandbits(64)),
            now=self.now,
            limits=self.rules.limits,
            dissemination=self.rules.spreading,
        )
        member = Member(instance, held, sink, membership)
        self.members[instance.name] = member
        self.by_endpoint[instance.inner] = member
        self._schedule(member)
        return member

    def give_list(
        self, member: Member, instances: Sequence[Instance] | None = None
    ) -> None:
        """Give a member the platform's list."""
        listed = self.instances if instances is None else instances
        sends = member.membership.update_instances(listed, self.now)
        self.send(member, sends)

    def reset_counters(self) -> None:
        """Start counting messages, octets and processor time anew."""
        self.sent = self.sent_bytes = self.handled = self.cpu_ns = 0
        self.pushes = self.largest_bytes = 0

    # Network

    def send(self, member: Member, sends: Iterable[Send]) -> None:
        """Put what a member sends on the network."""
        for each in sends:
            started = thread_time_ns()
            datagram = self.codec.encode(each.message)
            self.cpu_ns += thread_time_ns() - started
            self.sent += 1
            self.pushes += isinstance(each.message, Push)
            self.sent_bytes += len(datagram) + UDP_HEADER_BYTES
            self.largest_bytes = max(self.largest_bytes, len(datagram))
            self._carry(member, each.destination, datagram)
        self._schedule(member)

    def _carry(self, member: Member, destination: Endpoint, datagram: bytes) -> None:
        receiver = self.by_endpoint.get(destination)
        if receiver is None or receiver.is_dead:
            return
        if self.blocked and self.blocked(member.instance, receiver.instance):
            return
        copies = 1 + (self.random.random() < self.rules.duplicates)
        for _ in range(copies):
            if self.random.random() < self.rules.loss:
                continue
            delay_s = self.random.uniform(
                self.rules.shortest_delay_s, self.rules.longest_delay_s
            )
            self._push(self.now + delay_s, receiver, member.instance.inner, datagram)

    def _push(
        self, time: float, member: Member, source: Endpoint, datagram: bytes | None
    ) -> None:
        name = member.instance.name
        heappush(self.queue, (time, next(self.order), name, source, datagram))

    def _schedule(self, member: Member) -> None:
        deadline = max(member.membership.deadline, self.now)
        if deadline < member.scheduled:
            member.scheduled = deadline
            self._push(deadline, member, member.instance.inner, None)

    # Faults

    def pause(self, name: str, seconds: float) -> None:
        """Stop a member for a while; its socket keeps what arrives."""
        member = self.members[name]
        member.wakes_at = self.now + seconds
        self._push(member.wakes_at, member, member.instance.inner, None)

    def kill(self, name: str) -> None:
        """Stop a member for good."""
        self.members[name].is_dead = True

    # Time

    def run(self, seconds: float, *, until: Callable[[], bool] | None = None) -> float:
        """Let virtual time pass; return the time passed, less if ``until`` holds."""
        started = self.now
        end = self.now + seconds
        while self.queue and self.queue[0][0] <= end:
            time, _, name, source, datagram = heappop(self.queue)
            self.now = max(self.now, time)
            self._handle(self.members[name], source, datagram)
            if until is not None and datagram is not None and until():
                return self.now - started
        self.now = end
        return seconds

    def _handle(self, member: Member, source: Endpoint, datagram: bytes | None) -> None:
        if datagram is None and member.scheduled <= self.now:
            member.scheduled = float("inf")
        if member.is_dead:
            return
        if member.wakes_at > self.now:
            if datagram is not None:
                member.backlog.append((datagram, source))
            return
        backlog, member.backlog = member.backlog, []
        for waiting, waiting_source in backlog:
            self._receive(member, waiting, waiting_source)
        if datagram is not None:
            self._receive(member, datagram, source)
        elif member.membership.deadline <= self.now:
            started = thread_time_ns()
            sends = member.membership.tick(self.now)
            self.cpu_ns += thread_time_ns() - started
            self.send(member, sends)
        self._schedule(member)

    def _receive(self, member: Member, datagram: bytes, source: Endpoint) -> None:
        started = thread_time_ns()
        message = self.codec.decode(datagram)
        sends = member.membership.receive(message, source=source, now=self.now)
        self.cpu_ns += thread_time_ns() - started
        self.handled += 1
        self.send(member, sends)
