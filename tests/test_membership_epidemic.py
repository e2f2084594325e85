"""Dissemination of entries among members."""

from random import Random

import pytest

from balsamtide.membership import PushOnly, PushWithExchange, RelayTree
from balsamtide.membership.events import CHAIN_MISMATCH
from bench.standins.members import Fleet, FleetRules, make_instances
from tests.fakes_membership import FakeLog, make_entry

# The default ``datagram_bytes`` of 1190, 2 bytes of version and key, 8 bytes of MAC.
MAX_DATAGRAM_BYTES = 1200


def make_fleet(size: int = 40, **rules: object) -> Fleet:
    """Return a fleet whose members accept any entry."""
    return Fleet(
        make_instances(size),
        make_log=lambda sink: FakeLog(),
        rules=FleetRules(**rules),  # type: ignore[arg-type]
    )


def publish(fleet: Fleet, name: str, *entries: int, padding: int = 100) -> None:
    """Add entries to the log of one member, as its platform reader does."""
    member = fleet.members[name]
    made = [make_entry(number, padding=padding) for number in entries]
    member.log.offer_entries(made, source="platform", now=fleet.now)
    fleet.send(member, member.membership.entries_arrived(fleet.now))


def held_numbers(fleet: Fleet) -> set[int]:
    """Return the numbers of the last entries held by the members."""
    return {each.log.held.number for each in fleet.members.values()}


@pytest.mark.parametrize(
    ("spreading", "loss", "paused"),
    [
        (PushOnly, 0.0, 0),
        (PushWithExchange, 0.0, 0),
        (PushWithExchange, 0.05, 2),
        (PushWithExchange, 0.3, 2),
        (RelayTree, 0.0, 0),
        (RelayTree, 0.05, 2),
    ],
)
def test_entry_reaches_all(spreading: type, loss: float, paused: int) -> None:
    """With digest exchange an entry reaches all members despite loss and pauses.

    With `PushOnly`, and no such fault, it reaches at least 90 %.
    """
    fleet = make_fleet(spreading=spreading, loss=loss)
    fleet.run(1.0)
    for number in range(paused):
        fleet.pause(f"agent-{10 + number}", 2.0)
    publish(fleet, "agent-3", 1)
    fleet.run(8.0)
    reached = sum(each.log.held.number == 1 for each in fleet.members.values())
    assert reached >= (0.9 if spreading is PushOnly else 1) * len(fleet.members)


@pytest.mark.parametrize("padding", [10, 400, 900])
def test_missing_entries_are_pulled(padding: int) -> None:
    """A member that misses many entries pulls them in parts that fit a datagram."""
    fleet = make_fleet(6)
    publish(fleet, "agent-0", *range(1, 41), padding=padding)
    fleet.run(10.0)
    assert held_numbers(fleet) == {40}
    assert fleet.largest_bytes <= MAX_DATAGRAM_BYTES


def test_large_entry_needs_bulk_transfer() -> None:
    """An entry larger than a datagram requires a bulk transfer."""
    fleet = make_fleet(6)
    publish(fleet, "agent-0", 1, padding=5000)
    fleet.run(10.0)
    peers = [each.membership.bulk_peer() for each in fleet.members.values()]
    assert peers[0] is None
    assert all(peer is not None for peer in peers[1:])
    assert fleet.largest_bytes <= MAX_DATAGRAM_BYTES


def test_log_converges_after_partition() -> None:
    """The longer log of two sides reaches all members after a partition heals."""
    fleet = make_fleet(30, loss=0.05)
    fleet.blocked = lambda one, other: (one.zone == "a") != (other.zone == "a")
    publish(fleet, "agent-1", 1, 2)
    fleet.run(5.0)
    assert held_numbers(fleet) == {0, 2}
    fleet.blocked = None
    fleet.run(8.0)
    assert held_numbers(fleet) == {2}


def test_equal_seeds_send_equal_datagrams() -> None:
    """Two runs with the same seed send equal numbers of datagrams and bytes."""

    def run() -> tuple[int, int]:
        fleet = make_fleet(20, loss=0.1, seed=Random(3).randrange(99))
        publish(fleet, "agent-0", 1)
        fleet.run(3.0)
        return fleet.sent, fleet.sent_bytes

    assert run() == run()


def test_chain_mismatch_is_reported() -> None:
    """Two members with different logs of equal length report it once in 30 s."""
    fleet = make_fleet(2)
    for name, padding in (("agent-0", 5), ("agent-1", 6)):
        entry = make_entry(1, padding=padding)
        fleet.members[name].log.offer_entries([entry], source="", now=fleet.now)
    fleet.run(30.0)
    for member in fleet.members.values():
        reported = [event for event, _ in member.sink.events if event is CHAIN_MISMATCH]
        assert len(reported) == 1
        assert member.log.held.number == 1
