"""Tests of what a process holds of the log."""

from dataclasses import replace
from random import Random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balsamtide.config.entries import EMPTY_CHAIN, canonical_octets
from balsamtide.config.events import (
    ENTRY_CONFLICT,
    ENTRY_IN_FORCE,
    ENTRY_OVERFLOW,
    ENTRY_REJECTED,
    SNAPSHOT_REFUSED,
)
from balsamtide.config.metrics import CONFLICTS, ENTRIES, IGNORED_ENTRIES
from balsamtide.config.replica import ConfigurationHolder, Held
from balsamtide.protocol.messages import Entry
from balsamtide.telemetry.memory_sink import MemorySink
from tests.fakes_config import entry, operation, service

WEIGHT = "/services/orders/targets/t-1/weight"


def published(length, *, seed=3):
    """Return a log in which some entries are rejected for different reasons."""
    random = Random(seed)
    holder = ConfigurationHolder(sink=MemorySink())
    log = [entry(1, 0, operation("add", "/services/orders", service(1)))]
    holder.offer_entries(log, source="log", now=0.0)
    for number in range(2, length + 1):
        base = random.choice([holder.held.in_force] * 3 + [random.randrange(number)])
        weight = random.choice([1, 50, 1000, 0, "heavy"])
        added = entry(number, base, operation("add", WEIGHT, weight))
        holder.offer_entries([added], source="log", now=float(number))
        log.append(added)
    return tuple(log), holder


LOG, REFERENCE = published(40)


def new_holder(**bounds):
    """Return an empty holder with its sink."""
    sink = MemorySink()
    return ConfigurationHolder(sink=sink, **bounds), sink


def count(sink, event):
    """Return how often an event was reported."""
    return sum(1 for reported, _ in sink.events if reported is event)


def test_log_holds_both_verdicts():
    """The log of these tests has entries in force and entries rejected."""
    reasons = {labels for name, labels in REFERENCE.sink.counts if name == ENTRIES.name}
    assert len(reasons) >= 3
    assert 1 < REFERENCE.held.in_force < REFERENCE.held.number == 40


@pytest.mark.parametrize("seed", range(5))
def test_order_and_duplicates_do_not_matter(seed):
    """A shuffled log with duplicates ends in the state of the ordered one."""
    holder, sink = new_holder()
    shuffled = list(LOG * 2)
    Random(seed).shuffle(shuffled)
    evaluations = holder.offer_entries(shuffled, source="peer", now=1.0)
    assert [evaluation.number for evaluation in evaluations] == list(range(1, 41))
    assert holder.held == REFERENCE.held
    assert sink.total(CONFLICTS) == 0
    assert sink.total(IGNORED_ENTRIES) == 40


def test_entry_ahead_waits_for_the_gap():
    """An entry ahead of a gap has no effect until the gap closes."""
    holder, _ = new_holder()
    assert holder.offer_entries(LOG[1:3], source="peer", now=1.0) == ()
    assert holder.held == Held()
    evaluations = holder.offer_entries(LOG[:1], source="peer", now=2.0)
    assert [evaluation.number for evaluation in evaluations] == [1, 2, 3]


def test_every_entry_is_reported():
    """Each judged entry leaves one event and one audit record with its origin."""
    holder, sink = new_holder()
    evaluations = holder.offer_entries(LOG, source="peer-7", now=3.0)
    accepted = sum(evaluation.is_in_force for evaluation in evaluations)
    assert count(sink, ENTRY_IN_FORCE) == accepted
    assert count(sink, ENTRY_REJECTED) == 40 - accepted
    assert [record.subject for record in sink.audits] == [
        f"entry {number}" for number in range(1, 41)
    ]
    assert {record.source for record in sink.audits} == {"peer-7"}
    assert {record.actor for record in sink.audits} == {"operator"}
    assert holder.in_force_at == 3.0


@pytest.mark.parametrize("held", [LOG[:5], LOG[:3] + LOG[4:5]])
def test_other_content_is_a_conflict(held):
    """Other content under a number that is held or waits is counted, not used."""
    holder, sink = new_holder()
    holder.offer_entries(held, source="peer", now=1.0)
    before = holder.held
    other = replace_patch(LOG[4])
    assert holder.offer_entries([other], source="stale", now=2.0) == ()
    assert holder.held == before
    assert holder.conflicts == sink.total(CONFLICTS) == 1
    assert count(sink, ENTRY_CONFLICT) == 1


def replace_patch(original):
    """Return another entry under the same number."""
    return Entry(number=original.number, base=original.base, patch=(), actor="other")


@pytest.mark.parametrize("number", [0, -1, 2**63])
def test_number_out_of_range_is_ignored(number):
    """An entry with an impossible number is counted and nothing else."""
    holder, sink = new_holder()
    assert holder.offer_entries([entry(number, 0)], source="peer", now=1.0) == ()
    assert len(holder.waiting) == 0
    assert sink.total(IGNORED_ENTRIES) == 1


def test_unusable_entry_occupies_its_number():
    """An entry that cannot be passed on is held in its one rejected form."""
    holder, _ = new_holder()
    bad = entry(1, 0, operation("add", "", 2**70))
    (evaluation,) = holder.offer_entries([bad], source="peer", now=1.0)
    assert not evaluation.is_in_force
    assert holder.entries_after(0, max_bytes=1000) == (Entry(1, -1, ()),)


@pytest.mark.parametrize("bounds", [{"waiting_entries": 4}, {"waiting_bytes": 4 * 200}])
def test_waiting_entries_are_bounded(bounds):
    """Beyond the bounds the entries furthest ahead are dropped."""
    holder, sink = new_holder(**bounds)
    holder.offer_entries(reversed(LOG[1:]), source="peer", now=1.0)
    assert len(holder.waiting) <= 6
    assert min(holder.waiting.items) == 2
    assert count(sink, ENTRY_OVERFLOW) == 39 - len(holder.waiting)
    holder.offer_entries(LOG, source="peer", now=2.0)
    assert holder.held == REFERENCE.held
    assert holder.waiting.size == 0


@pytest.mark.parametrize("bounds", [{"history_entries": 5}, {"history_bytes": 5 * 200}])
def test_history_is_bounded(bounds):
    """Only recent entries can be had; for older ones there is the snapshot."""
    holder, _ = new_holder(**bounds)
    holder.offer_entries(LOG, source="peer", now=1.0)
    start = holder.history.start
    assert 30 <= start < 40
    assert holder.entries_after(start, max_bytes=10_000) == LOG[start:]
    assert holder.has_entries_after(start)
    assert not holder.has_entries_after(start - 1)
    assert holder.entries_after(start - 1, max_bytes=10_000) == ()


def test_entries_after_respects_its_limit():
    """Entries are returned in order up to the limit of octets."""
    first, second = (len(canonical_octets(item)) for item in LOG[:2])
    assert REFERENCE.entries_after(0, max_bytes=first + second) == LOG[:2]
    assert REFERENCE.entries_after(0, max_bytes=first + second - 1) == LOG[:1]
    assert REFERENCE.entries_after(0, max_bytes=first - 1) == ()
    assert REFERENCE.entries_after(40, max_bytes=10_000) == ()
    assert REFERENCE.entries_after(99, max_bytes=10_000) == ()


def test_snapshot_moves_forward_and_frees_waiting_entries():
    """A snapshot ahead is adopted, and entries that waited behind it are judged."""
    holder, _ = new_holder()
    holder.offer_entries(LOG[:2] + LOG[30:], source="peer", now=1.0)
    partial, _ = new_holder()
    partial.offer_entries(LOG[:30], source="peer", now=1.0)
    assert holder.offer_snapshot(partial.snapshot(), source="peer", now=2.0)
    assert holder.held == REFERENCE.held


@pytest.mark.parametrize(
    ("changes", "outcome"),
    [
        ({"number": 39}, "conflict"),
        ({"chain": bytes(16)}, "conflict"),
        ({"number": 41, "in_force": 1}, "lower-version"),
        ({"number": 41, "in_force": 42}, "invalid"),
        ({"number": 41, "chain": b"short"}, "invalid"),
        ({"number": 2**64}, "invalid"),
    ],
)
def test_bad_snapshot_changes_nothing(changes, outcome):
    """A snapshot that contradicts, lowers or is malformed is refused by its class."""
    holder, sink = new_holder()
    holder.offer_entries(LOG, source="peer", now=1.0)
    offered = replace(REFERENCE.snapshot(), **changes)
    assert not holder.offer_snapshot(offered, source="stale", now=2.0)
    assert holder.held == REFERENCE.held
    fields = [fields for event, fields in sink.events if event is SNAPSHOT_REFUSED]
    assert [item["why"] for item in fields] == [outcome]


def test_older_snapshot_is_ignored():
    """A snapshot behind what is held changes nothing and is no conflict."""
    partial, _ = new_holder()
    partial.offer_entries(LOG[:9], source="peer", now=1.0)
    holder, _ = new_holder()
    holder.offer_entries(LOG, source="peer", now=1.0)
    assert not holder.offer_snapshot(partial.snapshot(), source="peer", now=2.0)
    assert holder.held == REFERENCE.held
    assert holder.conflicts == 0


def test_chain_tells_forks_apart():
    """A chain hash contradicts the log only at a known number with another hash."""
    chain = REFERENCE.history.chain_at(7)
    assert not REFERENCE.is_conflicting(7, chain)
    assert REFERENCE.is_conflicting(7, bytes(16))
    assert not REFERENCE.is_conflicting(41, bytes(16))
    assert not REFERENCE.is_conflicting(0, EMPTY_CHAIN)


class Fleet(RuleBasedStateMachine):
    """Holders that receive parts of one log in any order, restart and recover."""

    def __init__(self):
        super().__init__()
        self.holders = [self.fresh() for _ in range(3)]
        self.highest = [0, 0, 0]
        self.verdicts = {}
        self.now = 0.0

    @staticmethod
    def fresh():
        """Return an empty holder with small bounds."""
        return ConfigurationHolder(
            sink=MemorySink(), history_entries=8, waiting_entries=8
        )

    def note(self, evaluations):
        """Check the verdicts of one holder against those of all others."""
        for evaluation in evaluations:
            verdict = evaluation.is_in_force, evaluation.reason
            assert self.verdicts.setdefault(evaluation.number, verdict) == verdict

    @rule(index=st.integers(0, 2), numbers=st.lists(st.integers(1, 40), max_size=12))
    def deliver(self, index, numbers):
        """Deliver some entries of the log in any order."""
        self.now += 1
        chosen = [LOG[number - 1] for number in numbers]
        holder = self.holders[index]
        self.note(holder.offer_entries(chosen, source="log", now=self.now))

    @rule(index=st.integers(0, 2), count=st.integers(1, 15))
    def deliver_next(self, index, count):
        """Deliver the entries that follow what a holder has."""
        number = self.holders[index].held.number
        self.deliver(index, range(number + 1, min(number + count, 40) + 1))

    @rule(giver=st.integers(0, 2), taker=st.integers(0, 2))
    def exchange_entries(self, giver, taker):
        """Let one holder catch up from the history of another."""
        after = self.holders[taker].held.number
        entries = self.holders[giver].entries_after(after, max_bytes=1000)
        evaluations = self.holders[taker].offer_entries(
            entries, source="peer", now=self.now
        )
        self.note(evaluations)

    @rule(giver=st.integers(0, 2), taker=st.integers(0, 2))
    def exchange_snapshot(self, giver, taker):
        """Offer the snapshot of one holder to another."""
        ahead = self.holders[giver].held.number > self.holders[taker].held.number
        snapshot = self.holders[giver].snapshot()
        adopted = self.holders[taker].offer_snapshot(
            snapshot, source="peer", now=self.now
        )
        assert adopted is ahead

    @rule(index=st.integers(0, 2))
    def restart(self, index):
        """Lose everything that a holder has."""
        self.holders[index] = self.fresh()
        self.highest[index] = 0

    @rule(index=st.integers(0, 2), number=st.integers(1, 40))
    def deliver_forged(self, index, number):
        """Deliver other content under a number that is held already."""
        holder = self.holders[index]
        if number <= holder.held.number:
            before = holder.held
            forged = replace_patch(LOG[number - 1])
            assert holder.offer_entries([forged], source="stale", now=self.now) == ()
            assert holder.held is before

    @invariant()
    def agrees_with_the_log(self):
        """Each holder is in the state that its number names, and never went back."""
        for index, holder in enumerate(self.holders):
            held = holder.held
            assert held.in_force >= self.highest[index]
            self.highest[index] = held.in_force
            assert held == STATES[held.number]


def states():
    """Return the expected state after each entry of the log."""
    holder, _ = new_holder()
    expected = [holder.held]
    for item in LOG:
        holder.offer_entries([item], source="log", now=0.0)
        expected.append(holder.held)
    return expected


STATES = states()
TestFleet = Fleet.TestCase
