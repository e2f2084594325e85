"""Configuration under failures, one table: the invariants of spec/configuration.pml."""

from itertools import combinations_with_replacement

from pytest import mark

from balsamtide.config import ConfigurationHolder
from bench.standins.members import Fleet, FleetRules, make_instances
from tests.fakes_config import entry, operation, service

MEMBERS = 9
HOUR_S = 3600.0
BOUND_S = 4.0
PAUSE_S = 20.0
WEIGHT = "/services/orders/targets/t-1/weight"
LOG = (
    entry(1, 0, operation("add", "/services/orders", service(1))),
    entry(2, 1, operation("add", WEIGHT, 50)),
    entry(3, 1, operation("add", WEIGHT, 60)),
    entry(4, 2, operation("add", WEIGHT, "heavy")),
    entry(5, 2, operation("add", WEIGHT, 70)),
)
NEWEST = 5
IN_FORCE = 5


class Watched:
    """A fleet whose invariants are checked after every step."""

    def __init__(self):
        self.fleet = Fleet(
            make_instances(MEMBERS),
            make_log=lambda sink: ConfigurationHolder(sink=sink),
            rules=FleetRules(seed=5, loss=0.05),
        )
        self.highest = {}
        self.replaced = []

    def read(self, name, start, end):
        """Let one member read a part of the log from the platform."""
        member = self.fleet.members[name]
        now = self.fleet.now
        member.log.offer_entries(LOG[start:end], source="platform", now=now)
        self.fleet.send(member, member.membership.entries_arrived(now))
        self.check()

    def run(self, seconds):
        """Let time pass in steps and check after each."""
        for _ in range(4):
            self.fleet.run(seconds / 4)
            self.check()

    def check(self):
        """No process holds less than before, and equal numbers mean equal verdicts."""
        verdicts = {}
        for member in self.fleet.members.values():
            held = member.log.held
            before = self.highest.get(id(member.log), (0, 0))
            assert (held.number, held.in_force) >= before, "never_reverts"
            assert held.in_force >= before[1], "never_reverts"
            self.highest[id(member.log)] = held.number, held.in_force
            state = held.in_force, held.chain
            assert verdicts.setdefault(held.number, state) == state, "agreement"

    def restart(self, name):
        """Replace a process by one that holds nothing."""
        self.fleet.kill(name)
        self.replaced.append(self.fleet.members[name])
        member = self.fleet.start(self.fleet.members[name].instance)
        self.fleet.give_list(member)

    def split(self):
        """Cut three members off."""
        inside = {f"agent-{n}" for n in (0, 4, 8)}
        self.fleet.blocked = lambda one, other: (
            (one.name in inside) != (other.name in inside)
        )


def platform_down(watched):
    """Let an hour pass in which nobody reads."""
    watched.run(HOUR_S)


def platform_stale(watched):
    """Let members read an old part of the log again for an hour."""
    for name in ("agent-1", "agent-5", "agent-0"):
        watched.read(name, 0, 1)
        watched.run(HOUR_S / 3)


def late_wake(watched):
    """Pause a member, which wakes with old messages in its socket."""
    watched.fleet.pause("agent-2", PAUSE_S)
    watched.run(1.0)


def partition(watched):
    """Split the fleet and let it go on for a while."""
    watched.split()
    watched.run(30.0)


def restart(watched):
    """Restart a member that was a reader."""
    watched.restart("agent-3")
    watched.run(0.5)


def uneven_updates(watched):
    """Give the ends of the log to different members, with a gap."""
    watched.read("agent-6", 3, 5)
    watched.read("agent-7", 1, 2)


FAILURES = {
    "platform-down": platform_down,
    "platform-stale": platform_stale,
    "late-wake": late_wake,
    "partition": partition,
    "restart": restart,
    "uneven": uneven_updates,
}


@mark.parametrize(
    ("first", "second"),
    list(combinations_with_replacement(FAILURES, 2)),
    ids="-and-".join,
)
def test_any_two_failures_end_in_the_newest_version(first, second):
    """No process reverts or disagrees, and after healing all hold the whole log."""
    watched = Watched()
    watched.read("agent-3", 0, 2)
    watched.run(0.2)
    FAILURES[first](watched)
    watched.read("agent-4", 0, 3)
    FAILURES[second](watched)
    watched.read("agent-4", 0, NEWEST)
    watched.fleet.blocked = None
    watched.run(PAUSE_S + BOUND_S)
    states = {
        (member.log.held.number, member.log.held.in_force)
        for member in watched.fleet.members.values()
    }
    assert states == {(NEWEST, IN_FORCE)}, "in_force_last"


def test_change_is_in_force_within_the_bound():
    """In a fleet without other failures all hold a new entry within four seconds."""
    watched = Watched()
    watched.run(5.0)
    watched.read("agent-3", 0, NEWEST)
    watched.fleet.run(BOUND_S)
    held = {member.log.held.number for member in watched.fleet.members.values()}
    assert held == {NEWEST}
