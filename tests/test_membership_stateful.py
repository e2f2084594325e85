"""Random schedules of faults: nothing reverts, all agree, and healing ends it."""

from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from balsamtide.config import ConfigurationHolder
from balsamtide.membership import PushOnly, PushWithExchange, RelayTree
from balsamtide.protocol.messages import Entry
from balsamtide.telemetry.memory_sink import MemorySink
from bench.standins.members import Fleet, FleetRules, Member, make_instances
from tests.fakes_config import entry, operation, service

MEMBERS = 7
LENGTH = 40
WEIGHT = "/services/orders/targets/t-1/weight"


def published(seed: int) -> tuple[Entry, ...]:
    """Return a log in which some entries are rejected for different reasons."""
    random = Random(seed)
    holder = ConfigurationHolder(sink=MemorySink())
    log = [entry(1, 0, operation("add", "/services/orders", service(1)))]
    holder.offer_entries(log, source="log", now=0.0)
    for number in range(2, LENGTH + 1):
        base = random.choice([holder.held.in_force] * 3 + [random.randrange(number)])
        weight = random.choice([1, 50, 1000, 0, "heavy"])
        log.append(entry(number, base, operation("add", WEIGHT, weight)))
        holder.offer_entries(log[-1:], source="log", now=0.0)
    return tuple(log)


class FleetMachine(RuleBasedStateMachine):
    """Members under loss, delay, duplicates, pauses, restarts and partitions."""

    names = st.integers(0, MEMBERS - 1).map("agent-{}".format)

    @initialize(
        seed=st.integers(0, 9),
        loss=st.sampled_from([0.0, 0.05, 0.3]),
        duplicates=st.sampled_from([0.0, 0.3]),
        longest_delay_s=st.sampled_from([0.002, 0.5]),
        spreading=st.sampled_from([PushWithExchange, RelayTree]),
    )
    def start(self, seed: int, **rules: object) -> None:
        """Start the fleet."""
        self.log = published(seed)
        self.number = 0
        self.held: dict[int, tuple[int, int]] = {}
        self.checked: dict[int, int] = {}
        self.processes: list[Member] = []
        self.verdicts: dict[str, str] = {}
        self.fleet = Fleet(
            make_instances(MEMBERS),
            make_log=lambda sink: ConfigurationHolder(sink=sink),
            rules=FleetRules(seed=seed, **rules),  # type: ignore[arg-type]
        )

    def read(self, name: str, start: int, end: int) -> None:
        """Let the reader in one member deliver a part of the log."""
        member = self.fleet.members[name]
        if member.is_dead or member.wakes_at > self.fleet.now:
            return
        entries = self.log[start:end]
        now = self.fleet.now
        member.log.offer_entries(entries, source="platform", now=now)
        self.fleet.send(member, member.membership.entries_arrived(now))

    @rule(name=names, count=st.integers(1, 5))
    def publish(self, name: str, count: int) -> None:
        """Publish entries; one reader reads all that it lacks."""
        self.number = min(LENGTH, self.number + count)
        held = self.fleet.members[name].log.held.number
        self.read(name, held, self.number)

    @rule(name=names, start=st.integers(0, LENGTH), count=st.integers(0, 10))
    def read_stale(self, name: str, start: int, count: int) -> None:
        """Let a stale platform deliver some old part again, with gaps."""
        self.read(name, start, min(self.number, start + count))

    @rule(inside=st.sets(names, max_size=MEMBERS))
    def partition(self, inside: set[str]) -> None:
        """Split the fleet in two."""
        self.fleet.blocked = lambda one, other: (
            (one.name in inside) != (other.name in inside)
        )

    @rule()
    def heal(self) -> None:
        """End the partition."""
        self.fleet.blocked = None

    @rule(name=names, seconds=st.sampled_from([0.5, 2.0, 20.0]))
    def pause(self, name: str, seconds: float) -> None:
        """Pause a member."""
        self.fleet.pause(name, seconds)

    @rule(name=names)
    def restart(self, name: str) -> None:
        """Replace a process by one that holds nothing."""
        self.check()
        self.processes.append(self.fleet.members[name])
        self.fleet.kill(name)
        member = self.fleet.start(self.fleet.members[name].instance)
        self.fleet.give_list(member)

    @rule(seconds=st.sampled_from([0.1, 1.0, 10.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.fleet.run(seconds)

    @invariant()
    def check(self) -> None:
        """No process reverts and no two processes differ about a verdict."""
        for member in self.fleet.members.values():
            held = member.log.held
            before = self.held.get(id(member.log), (0, 0))
            after = (held.number, held.in_force)
            assert after[0] >= before[0]
            assert after[1] >= before[1]
            self.held[id(member.log)] = after
            self.check_verdicts(member)

    def check_verdicts(self, member: Member) -> None:
        """Compare the audited verdicts of a member with those of all others."""
        audits = member.sink.audits
        checked = self.checked.get(id(audits), 0)
        self.checked[id(audits)] = len(audits)
        for record in audits[checked:]:
            if record.kind == "entry":
                verdict = f"{record.change} {record.version}"
                assert self.verdicts.setdefault(record.subject, verdict) == verdict

    def teardown(self) -> None:
        """After healing all hold the newest version that anybody held."""
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


def test_push_only_does_not_heal() -> None:
    """Without exchanges a member that was cut off stays behind."""
    fleet = Fleet(
        make_instances(MEMBERS),
        make_log=lambda sink: ConfigurationHolder(sink=sink),
        rules=FleetRules(spreading=PushOnly),
    )
    fleet.blocked = lambda one, other: "agent-3" in (one.name, other.name)
    member = fleet.members["agent-0"]
    member.log.offer_entries(published(1)[:5], source="platform", now=fleet.now)
    fleet.send(member, member.membership.entries_arrived(fleet.now))
    fleet.run(5.0)
    fleet.blocked = None
    fleet.run(60.0)
    assert fleet.members["agent-0"].log.held.number == 5
    assert fleet.members["agent-3"].log.held.number == 0
