"""Stateful test of dissemination: logs never revert, members agree and converge."""

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from balsamtide.config import ConfigurationReplica
from balsamtide.membership import PushOnly, PushWithExchange, RelayTree
from balsamtide.protocol.messages import Entry
from balsamtide.telemetry.memory_sink import MemorySink
from bench.standins.members import Fleet, FleetRules, Member, make_instances
from tests.fakes_config import entry, operation, service

MEMBERS = 7
LOG_LENGTH = 40
WEIGHT_PATH = "/services/orders/targets/t-1/weight"


def make_entries(seed: int) -> tuple[Entry, ...]:
    """Return entries, some of which have a stale base or an invalid weight."""
    random = Random(seed)
    replica = ConfigurationReplica(sink=MemorySink())
    log = [entry(1, 0, operation("add", "/services/orders", service(1)))]
    replica.offer_entries(log, source="log", now=0.0)
    for number in range(2, LOG_LENGTH + 1):
        base = random.choice([replica.held.in_force] * 3 + [random.randrange(number)])
        weight = random.choice([1, 50, 1000, 0, "heavy"])
        log.append(entry(number, base, operation("add", WEIGHT_PATH, weight)))
        replica.offer_entries(log[-1:], source="log", now=0.0)
    return tuple(log)


class FleetMachine(RuleBasedStateMachine):
    """Fleet under loss, delay, duplicates, pauses, restarts and partitions."""

    member_names = st.integers(0, MEMBERS - 1).map("agent-{}".format)

    @initialize(
        seed=st.integers(0, 9),
        loss=st.sampled_from([0.0, 0.05, 0.3]),
        duplicates=st.sampled_from([0.0, 0.3]),
        longest_delay_s=st.sampled_from([0.002, 0.5]),
        spreading=st.sampled_from([PushWithExchange, RelayTree]),
    )
    def start(self, seed: int, **rules: object) -> None:
        """Start the fleet with the given network faults."""
        self.log = make_entries(seed)
        self.number = 0
        self.held: dict[int, tuple[int, int]] = {}
        self.checked: dict[int, int] = {}
        # Keeps killed members alive: the ids of their logs and audits are keys above.
        self.replaced: list[Member] = []
        self.verdicts: dict[str, str] = {}
        self.fleet = Fleet(
            make_instances(MEMBERS),
            make_log=lambda sink: ConfigurationReplica(sink=sink),
            rules=FleetRules(seed=seed, **rules),  # type: ignore[arg-type]
        )

    def deliver(self, name: str, start: int, end: int) -> None:
        """Add a slice of the log to one member, as its platform reader does."""
        member = self.fleet.members[name]
        if member.is_dead or member.wakes_at > self.fleet.now:
            return
        entries = self.log[start:end]
        now = self.fleet.now
        member.log.offer_entries(entries, source="platform", now=now)
        self.fleet.send(member, member.membership.entries_arrived(now))

    @rule(name=member_names, count=st.integers(1, 5))
    def publish(self, name: str, count: int) -> None:
        """Publish entries, and let one reader read all that it is missing."""
        self.number = min(LOG_LENGTH, self.number + count)
        held = self.fleet.members[name].log.held.number
        self.deliver(name, held, self.number)

    @rule(name=member_names, start=st.integers(0, LOG_LENGTH), count=st.integers(0, 10))
    def read_stale(self, name: str, start: int, count: int) -> None:
        """Deliver any published slice: entries already held, or entries after a gap."""
        self.deliver(name, start, min(self.number, start + count))

    @rule(inside=st.sets(member_names, max_size=MEMBERS))
    def partition(self, inside: set[str]) -> None:
        """Partition the fleet into two sides."""
        self.fleet.blocked = lambda one, other: (
            (one.name in inside) != (other.name in inside)
        )

    @rule()
    def heal(self) -> None:
        """End the partition."""
        self.fleet.blocked = None

    @rule(name=member_names, seconds=st.sampled_from([0.5, 2.0, 20.0]))
    def pause(self, name: str, seconds: float) -> None:
        """Pause a member."""
        self.fleet.pause(name, seconds)

    @rule(name=member_names)
    def restart(self, name: str) -> None:
        """Replace a process by a new one with an empty log."""
        self.check()
        self.replaced.append(self.fleet.members[name])
        self.fleet.kill(name)
        member = self.fleet.start(self.fleet.members[name].instance)
        self.fleet.give_list(member)

    @rule(seconds=st.sampled_from([0.1, 1.0, 10.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.fleet.run(seconds)

    @invariant()
    def check(self) -> None:
        """Check that no process reverts and that all agree on accepted entries."""
        for member in self.fleet.members.values():
            held = member.log.held
            before = self.held.get(id(member.log), (0, 0))
            after = (held.number, held.in_force)
            assert after[0] >= before[0]
            assert after[1] >= before[1]
            self.held[id(member.log)] = after
            self.check_verdicts(member)

    def check_verdicts(self, member: Member) -> None:
        """Compare the audited verdicts on entries with those of all other members."""
        audits = member.sink.audits
        checked = self.checked.get(id(audits), 0)
        self.checked[id(audits)] = len(audits)
        for record in audits[checked:]:
            if record.kind == "entry":
                verdict = f"{record.change} {record.version}"
                assert self.verdicts.setdefault(record.subject, verdict) == verdict

    def teardown(self) -> None:
        """Check that all members converge to the newest log after healing."""
        if not hasattr(self, "fleet"):
            return
        newest = max(each.log.held.number for each in self.fleet.members.values())
        self.fleet.blocked = None
        self.fleet.run(40.0)
        self.check()
        states = {
            (each.log.held.number, each.log.held.in_force, each.log.held.chain)
            for each in self.fleet.members.values()
        }
        assert len(states) == 1
        assert newest <= states.pop()[0] <= self.number


TestFleet = FleetMachine.TestCase
TestFleet.settings = settings(max_examples=100, stateful_step_count=25)


def test_push_only_does_not_converge_after_partition() -> None:
    """Without digest exchange a member misses what was pushed while it was cut off."""
    fleet = Fleet(
        make_instances(MEMBERS),
        make_log=lambda sink: ConfigurationReplica(sink=sink),
        rules=FleetRules(spreading=PushOnly),
    )
    fleet.blocked = lambda one, other: "agent-3" in (one.name, other.name)
    member = fleet.members["agent-0"]
    member.log.offer_entries(make_entries(1)[:5], source="platform", now=fleet.now)
    fleet.send(member, member.membership.entries_arrived(fleet.now))
    fleet.run(5.0)
    fleet.blocked = None
    fleet.run(60.0)
    assert fleet.members["agent-0"].log.held.number == 5
    assert fleet.members["agent-3"].log.held.number == 0
