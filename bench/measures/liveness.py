"""What heartbeats, leases and marks cost, and how fast faults are known.

Real membership objects in services of nine agents, on an in-memory network in virtual
time.  Extrapolations use the slope over the measured sizes and say so in their names.
"""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from time import thread_time_ns

import trio

from balsamtide.membership import PushWithExchange
from balsamtide.membership.events import MARK_MADE
from balsamtide.membership.marks import SUSPECT
from balsamtide.membership.pacing import MAX_LIST_PERIOD_S
from bench.figures import Figure
from bench.measures.epidemic import (
    DAY_S,
    ENTRY_PERIOD_S,
    FLEET,
    Spread,
    extrapolate,
    make_fleet,
    measure_spread,
)
from bench.measures.platform_reads import list_bytes
from bench.standins.members import Fleet, Member
from bench.standins.services import make_full_fleet

__all__ = ["Traffic", "figures", "measure_traffic"]

SIZES = (45, 180, 540)
WARM_UP_S = 12.0
STEP_S = 0.1
LONGEST_S = 20.0
FAULT_SIZE = 540
FAULT_LOSS = 0.05
# Marks a day at the size to come: failures claimed by three observers and renewed
# for five minutes; stops announced every 20 s, and every 30 s from the platform's list,
# over a drain of five minutes.
FAILURE_MARKS = 380 * 3 * 40
LEAVING_MARKS = 5_400 * (17 + 10)
# Datagrams of a membership message, for the cost of the socket calls.
DATAGRAM_BYTES = 120
DATAGRAMS = 2_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Traffic:
    """What one member spends in a second, without entries.

    Parameters
    ----------
    octets : float
        Sent and received, with UDP and IP headers.
    messages : float
        Sent and received.
    cpu_us : float
        Processor time, without that of the sockets.
    false_suspects : int
        Claims made although nobody failed.
    member_hours : float
        Time over all members.
    """

    octets: float
    messages: float
    cpu_us: float
    false_suspects: int
    member_hours: float


def measure_traffic(
    size: int, seconds: float, *, leaving_period_s: float = 0.0, seed: int = 1
) -> Traffic:
    """Let a calm fleet run; optionally one member announces leaving periodically."""
    fleet = make_full_fleet(size, seed=seed)
    fleet.run(WARM_UP_S)
    fleet.reset_counters()
    step_s = leaving_period_s or seconds
    names = sorted(fleet.members)
    for step in range(round(seconds / step_s)):
        if leaving_period_s:
            _claim_leaving(fleet, names[step % size])
        fleet.run(step_s)
    suspects = sum(
        1
        for member in fleet.members.values()
        for event, fields in member.sink.events
        if event is MARK_MADE and fields["kind"] == SUSPECT
    )
    return Traffic(
        octets=2 * fleet.sent_bytes / size / seconds,
        messages=2 * fleet.sent / size / seconds,
        cpu_us=fleet.cpu_ns / 1000 / size / seconds,
        false_suspects=suspects,
        member_hours=size * seconds / 3600,
    )


def _claim_leaving(fleet: Fleet, name: str) -> None:
    """Let one member publish one claim, without its repetitions."""
    member = fleet.members[name]
    membership = member.membership
    mark = membership.local_marks.leaving()
    fleet.send(member, membership._publish([mark], fleet.now, cause="measure"))


def _traffic() -> Iterator[Figure]:
    """Measure the cost of heartbeats, exchanges, leases and marks."""
    results = [measure_traffic(size, 10.0) for size in SIZES]
    for size, result in zip(SIZES, results, strict=True):
        subject = f"membership: calm {size}"
        yield Figure(
            name=f"{subject}: octets both ways",
            figure=result.octets,
            unit="B/s member",
        )
        yield Figure(
            name=f"{subject}: messages both ways",
            figure=result.messages,
            unit="1/s member",
        )
        yield Figure(
            name=f"{subject}: processor time",
            figure=result.cpu_us / 10_000,
            unit="% core",
        )
    yield from _extrapolated(results)


@dataclass(frozen=True, slots=True, kw_only=True)
class Cost:
    """Octets, messages (both ways) and processor time of something at a member."""

    octets: float
    messages: float
    cpu_us: float


def _mark_cost() -> Cost:
    """Measure what one mark costs every member."""
    size, seconds, period_s = 90, 20.0, 0.5
    quiet = measure_traffic(size, seconds)
    marked = measure_traffic(size, seconds, leaving_period_s=period_s)
    return Cost(
        octets=max(0.0, marked.octets - quiet.octets) * period_s,
        messages=max(0.0, marked.messages - quiet.messages) * period_s,
        cpu_us=max(0.0, marked.cpu_us - quiet.cpu_us) * period_s,
    )


def _entry_cost() -> Cost:
    """Measure what entries at the planned rate cost every member in a second."""
    busy = measure_spread(PushWithExchange, 200, entries=4)
    idle = measure_idle(200)
    cpu_us = 2 * (busy.messages * busy.cpu_us - idle.messages * idle.cpu_us)
    return Cost(
        octets=2 * max(0.0, busy.octets - idle.octets),
        messages=2 * max(0.0, busy.messages - idle.messages),
        cpu_us=max(0.0, cpu_us),
    )


def socket_cpu_us() -> float:
    """Measure the processor time of sending and receiving one datagram."""

    async def main() -> float:
        receiver = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        sender = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        with receiver, sender:
            await receiver.bind(("127.0.0.1", 0))
            address = receiver.getsockname()
            datagram = bytes(DATAGRAM_BYTES)
            started = thread_time_ns()
            for _ in range(DATAGRAMS):
                await sender.sendto(datagram, address)
                await receiver.recvfrom(2 * DATAGRAM_BYTES)
            return (thread_time_ns() - started) / DATAGRAMS / 1000

    return trio.run(main)


def _extrapolated(results: Sequence[Traffic]) -> Iterator[Figure]:
    mark, entry, socket_us = _mark_cost(), _entry_cost(), socket_cpu_us()
    yield Figure(
        name="membership: one mark: octets", figure=mark.octets, unit="B/member"
    )
    yield Figure(
        name="membership: one mark: processor time",
        figure=mark.cpu_us,
        unit="us/member",
    )
    yield Figure(
        name="membership: one datagram sent and received by trio",
        figure=socket_us,
        unit="us",
    )
    marks_per_s = (FAILURE_MARKS + LEAVING_MARKS) / DAY_S
    octets = extrapolate(SIZES, [each.octets for each in results], FLEET)
    octets += entry.octets + marks_per_s * mark.octets
    list_octets = list_bytes(FLEET) / MAX_LIST_PERIOD_S
    yield Figure(
        name="membership: list of 75000 once an hour",
        figure=list_octets,
        unit="B/s member",
    )
    octets += list_octets
    messages = extrapolate(SIZES, [each.messages for each in results], FLEET)
    messages += entry.messages + marks_per_s * mark.messages
    cpu_us = extrapolate(SIZES, [each.cpu_us for each in results], FLEET)
    cpu_us += entry.cpu_us + marks_per_s * mark.cpu_us + messages / 2 * socket_us
    yield Figure(
        name="membership: octets both ways, 75000 by slope",
        figure=octets / 1000,
        unit="KB/s member",
        target="<= 10",
        met=octets <= 10_000,
    )
    yield Figure(
        name="membership: processor time with sockets, 75000 by slope",
        figure=cpu_us / 10_000,
        unit="% core",
        target="<= 2.3",
        met=cpu_us <= 23_000,
    )


def measure_idle(size: int) -> Spread:
    """Measure the exchanges alone, without any entry."""
    fleet = make_fleet(PushWithExchange, size, seed=1)
    fleet.run(6.0)
    fleet.reset_counters()
    seconds = 4 * ENTRY_PERIOD_S
    fleet.run(seconds)
    return Spread(
        last_s=[],
        missed=0,
        messages=fleet.sent / size / seconds,
        octets=fleet.sent_bytes / size / seconds,
        cpu_us=fleet.cpu_ns / fleet.handled / 1000,
    )


def _false_suspects() -> Iterator[Figure]:
    result = measure_traffic(90, 400.0, seed=2)
    hours = round(result.member_hours)
    yield Figure(
        name=f"liveness: false suspects in {hours} calm member hours, 1% loss",
        figure=result.false_suspects,
        unit="claims",
        target="0",
        met=result.false_suspects == 0,
    )


def _time_until(fleet: Fleet, is_known: Callable[[Member], bool]) -> float:
    """Return the time until all live members know something, in seconds."""
    started = fleet.now
    members = [each for each in fleet.members.values() if not each.is_dead]
    while fleet.now < started + LONGEST_S:
        fleet.run(STEP_S)
        members = [each for each in members if not is_known(each)]
        if not members:
            return fleet.now - started
    return float("inf")


def _is_marked(fleet: Fleet, name: str) -> Callable[[Member], bool]:
    zone = fleet.members[name].instance.zone
    return lambda member: not member.membership.is_eligible(name, zone, fleet.now)


def _time_of_leaving() -> float:
    fleet = make_full_fleet(FAULT_SIZE, loss=FAULT_LOSS)
    fleet.run(WARM_UP_S)
    leaving = fleet.members["agent-7"]
    fleet.send(leaving, leaving.membership.announce_leaving(fleet.now))
    return _time_until(fleet, _is_marked(fleet, "agent-7"))


def _time_of_failure() -> float:
    fleet = make_full_fleet(FAULT_SIZE, loss=FAULT_LOSS)
    fleet.run(WARM_UP_S)
    fleet.kill("agent-7")
    return _time_until(fleet, _is_marked(fleet, "agent-7"))


def _lost_zone() -> tuple[float, int]:
    """Return the time until a lost zone is known, and the subjects claimed."""
    fleet = make_full_fleet(FAULT_SIZE, loss=FAULT_LOSS)
    fleet.run(WARM_UP_S)
    for member in fleet.members.values():
        member.is_dead = member.instance.zone == "c"
    seconds = _time_until(fleet, _is_marked(fleet, "agent-2"))
    return seconds, len(_claimed(fleet))


def _claimed(fleet: Fleet) -> set[str]:
    return {
        fields["subject"]
        for member in fleet.members.values()
        for event, fields in member.sink.events
        if event is MARK_MADE and fields["kind"] == SUSPECT
    }


def _faults() -> Iterator[Figure]:
    subject = f"liveness: {FAULT_SIZE}, 5% loss"
    leaving_s = _time_of_leaving()
    yield Figure(
        name=f"{subject}: leaving known to all",
        figure=leaving_s,
        unit="s",
        target="<= 3",
        met=leaving_s <= 3,
    )
    yield Figure(
        name=f"{subject}: failure known to all",
        figure=_time_of_failure(),
        unit="s",
    )
    zone_s, subjects = _lost_zone()
    yield Figure(name=f"{subject}: lost zone known to all", figure=zone_s, unit="s")
    yield Figure(
        name=f"{subject}: subjects claimed for a lost zone",
        figure=subjects,
        unit="subjects",
        target="1",
        met=subjects == 1,
    )


def figures() -> Iterator[Figure]:
    """Measure traffic, false suspects and the time until faults are known."""
    yield from _traffic()
    yield from _false_suspects()
    yield from _faults()
