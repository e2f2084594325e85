"""Failure detection, marks, and the limits within which they apply."""

from collections.abc import Callable

import pytest

from balsamtide.config.model import Configuration, Service, Target
from balsamtide.config.port import Instance, InstanceState
from balsamtide.membership import MembershipLimits
from balsamtide.membership.events import CUT_OFF, MARK_MADE, PAUSED, REFUTED
from balsamtide.membership.failure_diagnosis import (
    Diagnosis,
    PeerLiveness,
    diagnose_silence,
)
from balsamtide.membership.marks import (
    ALIVE,
    LEAVING,
    PLATFORM,
    SUSPECT,
    MarkTable,
    split_marks,
)
from balsamtide.protocol.messages import Mark
from bench.standins.members import Fleet, FleetRules, Member, make_instances
from tests.fakes_membership import FakeLog

LIMITS = MembershipLimits()
# Above the random initial incarnations, which are below 2**32.
HIGH_INCARNATION = 2**33


def make_target(number: int, instance: Instance) -> Target:
    """Return the target that the agent ``instance`` serves."""
    return Target(
        number=number,
        zone=instance.zone,
        host="10.9.0.1",
        port=80,
        agent_host=instance.inner.host,
        agent_port=instance.inner.port,
        agent_rpc_port=instance.rpc.port,
    )


def make_service_fleet(size: int, *, services: int = 1, **rules: object) -> Fleet:
    """Return a fleet of agents in three zones, split evenly over the services.

    The zones alternate: agent-0 is in a, agent-1 in b, agent-2 in c, agent-3 in a.
    """
    instances = make_instances(size)
    service_size = size // services
    groups = [
        instances[start : start + service_size]
        for start in range(0, size, service_size)
    ]
    configuration = Configuration(
        services={
            f"s{number}": Service(
                number=number + 1,
                targets={
                    f"t{number}-{place}": make_target(place + 1, instance)
                    for place, instance in enumerate(group)
                },
            )
            for number, group in enumerate(groups)
        }
    )
    return Fleet(
        instances,
        make_log=lambda sink: FakeLog(configuration),
        rules=FleetRules(**rules),  # type: ignore[arg-type]
    )


def live_members(fleet: Fleet) -> list[Member]:
    """Return the members that were not killed."""
    return [each for each in fleet.members.values() if not each.is_dead]


def eligibility_of(fleet: Fleet, name: str) -> list[bool]:
    """Return whether ``name`` is eligible, for each other live member."""
    zone = fleet.members[name].instance.zone
    return [
        each.membership.is_eligible(name, zone, fleet.now)
        for each in live_members(fleet)
        if each.instance.name != name
    ]


def all_suspected(fleet: Fleet) -> set[str]:
    """Return the subjects that any member marked as suspect."""
    return suspected_by(*fleet.members.values())


def suspected_by(*members: Member) -> set[str]:
    """Return the subjects that ``members`` marked as suspect."""
    return {
        fields["subject"]
        for member in members
        for event, fields in member.sink.events
        if event is MARK_MADE and fields["kind"] == SUSPECT
    }


def has_event(member: Member, event: object) -> bool:
    """Return whether ``member`` reported ``event``."""
    return any(each is event for each, _ in member.sink.events)


def parse_partners(text: str) -> list[PeerLiveness]:
    """Parse ``"a+ b- b-"``: the zone of each partner, heard (+) or silent (-).

    Its name is the zone and the position in the text: here a0, b1 and b2.
    """
    return [
        PeerLiveness(f"{word[:-1]}{place}", word[:-1], word[-1] == "-")
        for place, word in enumerate(text.split())
    ]


@pytest.mark.parametrize(
    ("partners", "probed", "expected"),
    [
        ("a+ b+ c+", "", Diagnosis()),
        ("a+ b+ b- c+", "", Diagnosis(members=frozenset({"b2"}))),
        ("a- b- c-", "", Diagnosis(is_cut_off=True)),
        ("a+ a+ b- b- c- c-", "", Diagnosis(is_cut_off=True)),
        ("a+ b- b- c+ c+", "", Diagnosis(zones=frozenset({"b"}))),
        ("a+ b- c+", "", Diagnosis(members=frozenset({"b1"}))),
        # Probed are b0 and b1; b1 is also the partner and counts once.
        ("a+ b- c+", "b- b-", Diagnosis(zones=frozenset({"b"}))),
        ("a+ b- c+", "b+", Diagnosis(members=frozenset({"b1"}))),
        ("a+ a+ b- b-", "", Diagnosis(is_cut_off=True)),
        ("a+ a- a- a-", "", Diagnosis(is_cut_off=True)),
        ("a+ a+ a-", "", Diagnosis(members=frozenset({"a2"}))),
        ("a+ a- b- b- c+ c+", "", Diagnosis(False, frozenset("b"), frozenset({"a1"}))),
        ("", "", Diagnosis()),
    ],
)
def test_silence_is_diagnosed(partners: str, probed: str, expected: Diagnosis) -> None:
    """Silence is diagnosed as failed members, a failed zone, or isolation."""
    found = diagnose_silence("a", parse_partners(partners), parse_partners(probed))
    assert found.is_cut_off == expected.is_cut_off
    assert found.zones == expected.zones
    assert found.members == expected.members


def mark(
    kind: str, observer: str, incarnation: int = 5, remaining_s: float = 10.0
) -> Mark:
    """Return a mark on the subject ``x``."""
    return Mark("x", kind, observer, incarnation, int(remaining_s * 1e6))


@pytest.mark.parametrize(
    ("marks", "expected"),
    [
        ([mark(SUSPECT, "p")], None),
        ([mark(SUSPECT, "p"), mark(SUSPECT, "p", 6)], None),
        ([mark(SUSPECT, "p"), mark(SUSPECT, "q")], SUSPECT),
        ([mark(SUSPECT, "p"), mark(SUSPECT, "q", remaining_s=0.5)], None),
        ([mark(SUSPECT, "p"), mark(SUSPECT, "q"), mark(ALIVE, "x", 6)], None),
        ([mark(ALIVE, "x", 6), mark(SUSPECT, "p"), mark(SUSPECT, "q")], None),
        ([mark(ALIVE, "x", 5), mark(SUSPECT, "p"), mark(SUSPECT, "q")], SUSPECT),
        ([mark(LEAVING, "x")], LEAVING),
        ([mark(LEAVING, "x"), mark(ALIVE, "x", 6)], None),
        ([mark(LEAVING, PLATFORM, 0), mark(ALIVE, "x", 6)], LEAVING),
        ([mark("unknown", "p"), mark("unknown", "q")], None),
    ],
)
def test_claims_become_beliefs(marks: list[Mark], expected: str | None) -> None:
    """Two suspect claims or one leaving claim are believed unless refuted."""
    table = MarkTable(LIMITS)
    for each in marks:
        table.merge(each, now=0.0)
    assert table.belief("x", 0.0) == expected
    table.expire(1000.0)
    assert table.belief("x", 1000.0) is None
    assert table.digest() == bytes(8)


@pytest.mark.parametrize(
    ("remaining_s", "max_age_s", "is_accepted"),
    [(10.0, 0.0, True), (10.0, 9.5, False), (10.0, 5.0, True), (1e9, 20.0, False)],
)
def test_aged_claims_are_rejected(
    remaining_s: float, max_age_s: float, is_accepted: bool
) -> None:
    """The time that a claim waited through a pause reduces its remaining time."""
    table = MarkTable(LIMITS)
    suspect_mark = mark(SUSPECT, "p", remaining_s=remaining_s)
    assert table.merge(suspect_mark, now=50.0, max_age_s=max_age_s) == is_accepted
    assert not table.merge(suspect_mark, now=50.0, max_age_s=max_age_s)


def test_mark_table_is_bounded() -> None:
    """A flood of claims does not grow the mark table beyond its limits."""
    table = MarkTable(MembershipLimits(max_subjects=10))
    for number in range(100):
        for observer in range(10):
            suspect_mark = Mark(f"i{number}", SUSPECT, f"o{observer}", 1, 10_000_000)
            table.merge(suspect_mark, now=0.0)
    assert len(list(table)) == 10 * LIMITS.max_claims_per_suspect
    groups = split_marks(table.to_marks(0.0), 200)
    assert sum(len(group) for group in groups) == 30


@pytest.mark.parametrize("loss", [0.0, 0.01, 0.05])
def test_killed_member_is_marked_by_two_observers(loss: float) -> None:
    """Only a killed agent is marked, by two observers, and is ineligible after 7 s."""
    fleet = make_service_fleet(9, loss=loss)
    fleet.run(5.0)
    fleet.kill("agent-4")
    fleet.run(7.0)
    assert all_suspected(fleet) == {"agent-4"}
    assert not any(eligibility_of(fleet, "agent-4"))
    observers = {claim.observer for claim in fleet.members["agent-0"].membership.table}
    assert len(observers) >= 2
    fleet.run(60.0)
    assert not any(eligibility_of(fleet, "agent-4"))


@pytest.mark.parametrize("has_announced_leaving", [False, True])
def test_restarted_member_refutes_its_marks(has_announced_leaving: bool) -> None:
    """A restarted member is eligible again before the marks on it expire."""
    fleet = make_service_fleet(9)
    fleet.run(2.0)
    old_member = fleet.members["agent-4"]
    if has_announced_leaving:
        fleet.send(old_member, old_member.membership.announce_leaving(fleet.now))
        fleet.run(1.0)
    fleet.kill("agent-4")
    fleet.run(8.0)
    assert not any(eligibility_of(fleet, "agent-4"))
    member = fleet.start(old_member.instance, log=old_member.log)
    fleet.give_list(member)
    fleet.run(5.0)
    assert all(eligibility_of(fleet, "agent-4"))
    assert has_event(member, REFUTED)


def test_suspected_member_stays_leaving() -> None:
    """A leaving member that refutes a suspicion remains ineligible."""
    fleet = make_service_fleet(9)
    fleet.run(2.0)
    leaving = fleet.members["agent-4"]
    fleet.send(leaving, leaving.membership.announce_leaving(fleet.now))
    fleet.pause("agent-4", 6.0)
    fleet.run(10.0)
    assert has_event(leaving, REFUTED)
    assert not any(eligibility_of(fleet, "agent-4"))


@pytest.mark.parametrize("pause_s", [2.0, 5.0, 30.0])
def test_paused_observer_marks_no_member(pause_s: float) -> None:
    """A member that resumes from a pause restarts the leases of its partners."""
    fleet = make_service_fleet(9, loss=0.01)
    fleet.run(3.0)
    fleet.pause("agent-2", pause_s)
    fleet.run(pause_s + 5.0)
    member = fleet.members["agent-2"]
    assert has_event(member, PAUSED)
    assert suspected_by(member) == set()
    assert all_suspected(fleet) <= {"agent-2"}
    fleet.run(20.0)
    assert all(eligibility_of(fleet, "agent-2"))


def test_short_pause_is_not_marked() -> None:
    """A pause shorter than the lease leads to no mark."""
    fleet = make_service_fleet(30, services=3, loss=0.01)
    fleet.run(3.0)
    for number in range(0, 30, 7):
        fleet.pause(f"agent-{number}", 2.0)
        fleet.run(4.0)
    assert all_suspected(fleet) == set()


def isolate_zone(zone: str) -> Callable[[Instance, Instance], bool]:
    """Return a predicate that blocks traffic between ``zone`` and the others."""
    return lambda one, other: (one.zone == zone) != (other.zone == zone)


def test_minority_side_marks_no_member() -> None:
    """Members on the smaller side of a partition consider themselves cut off."""
    fleet = make_service_fleet(27, services=3)
    fleet.run(3.0)
    fleet.blocked = isolate_zone("b")
    fleet.run(15.0)
    inside = [each for each in live_members(fleet) if each.instance.zone == "b"]
    assert all(has_event(each, CUT_OFF) for each in inside)
    assert suspected_by(*inside) == set()
    assert all_suspected(fleet) == {"zone:b"}
    fleet.blocked = None
    fleet.run(20.0)
    assert all(eligibility_of(fleet, "agent-1"))


@pytest.mark.parametrize("services", [1, 3, 9])
@pytest.mark.parametrize(("loss", "seed"), [(0.0, 1), (0.05, 1), (0.05, 2), (0.05, 3)])
def test_failed_zone_is_marked_as_a_whole(
    services: int, loss: float, seed: int
) -> None:
    """A failed zone is marked as one subject, not member by member."""
    fleet = make_service_fleet(63, services=services, loss=loss, seed=seed)
    fleet.run(3.0)
    for member in list(fleet.members.values()):
        if member.instance.zone == "c":
            fleet.kill(member.instance.name)
    fleet.run(10.0)
    assert all_suspected(fleet) == {"zone:c"}
    assert not any(eligibility_of(fleet, "agent-2"))
    assert all(eligibility_of(fleet, "agent-0"))


@pytest.mark.parametrize(
    ("marked", "is_ignored"), [(1, False), (2, False), (3, False), (5, True)]
)
def test_marks_on_most_of_a_service_are_ignored(marked: int, is_ignored: bool) -> None:
    """Marks on more than half of a service are ignored."""
    fleet = make_service_fleet(9)
    member = fleet.members["agent-0"].membership
    for number in range(1, 1 + marked):
        for observer in ("p", "q"):
            suspect_mark = Mark(
                f"agent-{number}", SUSPECT, observer, HIGH_INCARNATION, 10_000_000
            )
            member.table.merge(suspect_mark, now=fleet.now)
    zone = fleet.members["agent-1"].instance.zone
    assert member.is_eligible("agent-1", zone, fleet.now) == is_ignored


@pytest.mark.parametrize(("zones", "is_ignored"), [(("b",), False), (("b", "c"), True)])
def test_marks_on_most_zones_are_ignored(
    zones: tuple[str, ...], is_ignored: bool
) -> None:
    """Marks on more than half of the zones are ignored."""
    fleet = make_service_fleet(9)
    member = fleet.members["agent-0"].membership
    for zone in zones:
        for observer in ("p", "q"):
            suspect_mark = Mark(f"zone:{zone}", SUSPECT, observer, 0, 10_000_000)
            member.table.merge(suspect_mark, now=fleet.now)
    assert member.is_eligible("agent-1", "b", fleet.now) == is_ignored


@pytest.mark.parametrize("source", ["announced", "platform"])
@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_leaving_mark_reaches_all_members(source: str, loss: float) -> None:
    """Within 3 s a leaving member is ineligible for all reachable members."""
    fleet = make_service_fleet(60, services=6, loss=loss)
    fleet.run(5.0)
    leaving = fleet.members["agent-7"]
    if source == "announced":
        sends = leaving.membership.announce_leaving(fleet.now)
        fleet.send(leaving, sends)
    else:
        listed = [
            Instance(
                name=each.name,
                role=each.role,
                region=each.region,
                zone=each.zone,
                inner=each.inner,
                rpc=each.rpc,
                state=InstanceState.LEAVING
                if each.name == "agent-7"
                else InstanceState.LIVE,
            )
            for each in fleet.instances
        ]
        readers = [each for each in live_members(fleet) if each.membership.is_reader]
        fleet.give_list(readers[0], listed)
    fleet.run(3.0)
    assert not any(eligibility_of(fleet, "agent-7"))
    assert leaving.membership.status().is_leaving == (source == "announced")


def test_marks_are_audited() -> None:
    """Marks that are claimed, believed and ended are written to the audit trail."""
    fleet = make_service_fleet(9)
    fleet.run(2.0)
    fleet.kill("agent-4")
    fleet.run(8.0)
    fleet.start(fleet.members["agent-4"].instance)
    fleet.run(60.0)
    changes = {
        (record.subject, record.change)
        for member in fleet.members.values()
        for record in member.sink.audits
        if record.kind == "mark"
    }
    expected = {"suspect claimed", "suspect believed", "suspect ended"}
    assert {change for subject, change in changes if subject == "agent-4"} >= expected
