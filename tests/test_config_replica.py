"""Tests of the configuration replica."""

from dataclasses import replace
from random import Random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from balsamtide.config.entries import EMPTY_CHAIN, canonical_bytes
from balsamtide.config.events import (
    ENTRY_CONFLICT,
    ENTRY_IN_FORCE,
    ENTRY_OVERFLOW,
    ENTRY_REJECTED,
    SNAPSHOT_REFUSED,
)
from balsamtide.config.metrics import CONFLICTS, ENTRIES, IGNORED_ENTRIES
from balsamtide.config.replica import ConfigurationReplica, ReplicaState
from balsamtide.protocol.messages import Entry
from balsamtide.telemetry.memory_sink import MemorySink
from tests.fakes_config import entry, operation, service

WEIGHT = "/services/orders/targets/t-1/weight"


def build_log(length, *, seed=3):
    """Return a log with accepted and rejected entries, and its replica."""
    random = Random(seed)
    replica = ConfigurationReplica(sink=MemorySink())
    log = [entry(1, 0, operation("add", "/services/orders", service(1)))]
    replica.offer_entries(log, source="log", now=0.0)
    for number in range(2, length + 1):
        base = random.choice([replica.held.in_force] * 3 + [random.randrange(number)])
        weight = random.choice([1, 50, 1000, 0, "heavy"])
        added = entry(number, base, operation("add", WEIGHT, weight))
        replica.offer_entries([added], source="log", now=float(number))
        log.append(added)
    return tuple(log), replica


LOG, REFERENCE = build_log(40)


def new_replica(**bounds):
    """Return an empty replica with its sink."""
    sink = MemorySink()
    return ConfigurationReplica(sink=sink, **bounds), sink


def count_events(sink, event):
    """Return the number of times that ``event`` was emitted."""
    return sum(1 for reported, _ in sink.events if reported is event)


def test_log_has_accepted_and_rejected_entries():
    """The log of these tests has accepted and rejected entries."""
    reasons = {labels for name, labels in REFERENCE.sink.counts if name == ENTRIES.name}
    assert len(reasons) >= 3
    assert 1 < REFERENCE.held.in_force < REFERENCE.held.number == 40


@pytest.mark.parametrize("seed", range(5))
def test_order_and_duplicates_have_no_effect(seed):
    """A shuffled log with duplicates leads to the same state as the ordered log."""
    replica, sink = new_replica()
    shuffled = list(LOG * 2)
    Random(seed).shuffle(shuffled)
    evaluations = replica.offer_entries(shuffled, source="peer", now=1.0)
    assert [evaluation.number for evaluation in evaluations] == list(range(1, 41))
    assert replica.held == REFERENCE.held
    assert sink.total(CONFLICTS) == 0
    assert sink.total(IGNORED_ENTRIES) == 40


def test_entry_ahead_of_gap_is_buffered():
    """An entry ahead of a gap has no effect until the gap is filled."""
    replica, _ = new_replica()
    assert replica.offer_entries(LOG[1:3], source="peer", now=1.0) == ()
    assert replica.held == ReplicaState()
    evaluations = replica.offer_entries(LOG[:1], source="peer", now=2.0)
    assert [evaluation.number for evaluation in evaluations] == [1, 2, 3]


def test_every_entry_is_reported():
    """Each evaluated entry emits one event and one audit record with its source."""
    replica, sink = new_replica()
    evaluations = replica.offer_entries(LOG, source="peer-7", now=3.0)
    accepted = sum(evaluation.is_in_force for evaluation in evaluations)
    assert count_events(sink, ENTRY_IN_FORCE) == accepted
    assert count_events(sink, ENTRY_REJECTED) == 40 - accepted
    assert [record.subject for record in sink.audits] == [
        f"entry {number}" for number in range(1, 41)
    ]
    assert {record.source for record in sink.audits} == {"peer-7"}
    assert {record.actor for record in sink.audits} == {"operator"}
    assert replica.in_force_at == 3.0


@pytest.mark.parametrize("held", [LOG[:5], LOG[:3] + LOG[4:5]])
def test_different_entry_is_a_conflict(held):
    """A different entry under a held or buffered number is a conflict."""
    replica, sink = new_replica()
    replica.offer_entries(held, source="peer", now=1.0)
    before = replica.held
    other = conflicting_entry(LOG[4])
    assert replica.offer_entries([other], source="stale", now=2.0) == ()
    assert replica.held == before
    assert replica.conflicts == sink.total(CONFLICTS) == 1
    assert count_events(sink, ENTRY_CONFLICT) == 1


def conflicting_entry(original):
    """Return a different entry with the same number."""
    return Entry(number=original.number, base=original.base, patch=(), actor="other")


@pytest.mark.parametrize("number", [0, -1, 2**63])
def test_number_out_of_range_is_ignored(number):
    """An entry whose number is out of range is counted and ignored."""
    replica, sink = new_replica()
    assert replica.offer_entries([entry(number, 0)], source="peer", now=1.0) == ()
    assert len(replica.buffer) == 0
    assert sink.total(IGNORED_ENTRIES) == 1


def test_unencodable_entry_becomes_malformed():
    """An entry that cannot be encoded for peers is stored as a malformed entry."""
    replica, _ = new_replica()
    bad = entry(1, 0, operation("add", "", 2**70))
    (evaluation,) = replica.offer_entries([bad], source="peer", now=1.0)
    assert not evaluation.is_in_force
    assert replica.entries_after(0, max_bytes=1000) == (Entry(1, -1, ()),)


# 800 bytes hold six entries, which have 118 to 126 bytes each.
@pytest.mark.parametrize(
    "bounds", [{"max_buffered_entries": 4}, {"max_buffered_bytes": 4 * 200}]
)
def test_buffer_is_bounded(bounds):
    """A full buffer drops the entries with the highest numbers."""
    replica, sink = new_replica(**bounds)
    replica.offer_entries(reversed(LOG[1:]), source="peer", now=1.0)
    assert len(replica.buffer) <= 6
    assert min(replica.buffer.items) == 2
    assert count_events(sink, ENTRY_OVERFLOW) == 39 - len(replica.buffer)
    replica.offer_entries(LOG, source="peer", now=2.0)
    assert replica.held == REFERENCE.held
    assert replica.buffer.size_bytes == 0


# 1000 bytes hold seven or eight entries of 118 to 126 bytes.
@pytest.mark.parametrize(
    "bounds", [{"max_history_entries": 5}, {"max_history_bytes": 5 * 200}]
)
def test_history_is_bounded(bounds):
    """Entries older than the bounded history are not available."""
    replica, _ = new_replica(**bounds)
    replica.offer_entries(LOG, source="peer", now=1.0)
    start = replica.history.start
    assert 30 <= start < 40
    assert replica.entries_after(start, max_bytes=10_000) == LOG[start:]
    assert replica.has_entries_after(start)
    assert not replica.has_entries_after(start - 1)
    assert replica.entries_after(start - 1, max_bytes=10_000) == ()


def test_entries_after_respects_its_limit():
    """Entries are returned in order up to the limit in bytes."""
    first, second = (len(canonical_bytes(item)) for item in LOG[:2])
    assert REFERENCE.entries_after(0, max_bytes=first + second) == LOG[:2]
    assert REFERENCE.entries_after(0, max_bytes=first + second - 1) == LOG[:1]
    assert REFERENCE.entries_after(0, max_bytes=first - 1) == ()
    assert REFERENCE.entries_after(40, max_bytes=10_000) == ()
    assert REFERENCE.entries_after(99, max_bytes=10_000) == ()


def test_snapshot_ahead_is_adopted():
    """A snapshot ahead is adopted, and buffered entries after it are evaluated."""
    replica, _ = new_replica()
    replica.offer_entries(LOG[:2] + LOG[30:], source="peer", now=1.0)
    partial, _ = new_replica()
    partial.offer_entries(LOG[:30], source="peer", now=1.0)
    assert replica.offer_snapshot(partial.snapshot(), source="peer", now=2.0)
    assert replica.held == REFERENCE.held


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
def test_refused_snapshot_changes_nothing(changes, outcome):
    """A conflicting, invalid or lower-version snapshot is refused with its reason."""
    replica, sink = new_replica()
    replica.offer_entries(LOG, source="peer", now=1.0)
    offered = replace(REFERENCE.snapshot(), **changes)
    assert not replica.offer_snapshot(offered, source="stale", now=2.0)
    assert replica.held == REFERENCE.held
    fields = [fields for event, fields in sink.events if event is SNAPSHOT_REFUSED]
    assert [item["why"] for item in fields] == [outcome]


def test_older_snapshot_is_ignored():
    """A snapshot behind the replica changes nothing and is not a conflict."""
    partial, _ = new_replica()
    partial.offer_entries(LOG[:9], source="peer", now=1.0)
    replica, _ = new_replica()
    replica.offer_entries(LOG, source="peer", now=1.0)
    assert not replica.offer_snapshot(partial.snapshot(), source="peer", now=2.0)
    assert replica.held == REFERENCE.held
    assert replica.conflicts == 0


def test_chain_hash_detects_a_conflict():
    """A chain hash conflicts only where the local hash is known and differs."""
    chain = REFERENCE.history.chain_at(7)
    assert not REFERENCE.is_conflicting(7, chain)
    assert REFERENCE.is_conflicting(7, bytes(16))
    assert not REFERENCE.is_conflicting(41, bytes(16))
    assert not REFERENCE.is_conflicting(0, EMPTY_CHAIN)


class ReplicaMachine(RuleBasedStateMachine):
    """Replicas that receive parts of one log in any order, restart and catch up."""

    def __init__(self):
        super().__init__()
        self.replicas = [self.empty_replica() for _ in range(3)]
        self.versions = [0, 0, 0]
        self.results = {}
        self.now = 0.0

    @staticmethod
    def empty_replica():
        """Return an empty replica with small bounds."""
        return ConfigurationReplica(
            sink=MemorySink(), max_history_entries=8, max_buffered_entries=8
        )

    def check_results(self, evaluations):
        """Check the results of one replica against those of all others."""
        for evaluation in evaluations:
            result = evaluation.is_in_force, evaluation.reason
            assert self.results.setdefault(evaluation.number, result) == result

    @rule(index=st.integers(0, 2), numbers=st.lists(st.integers(1, 40), max_size=12))
    def deliver(self, index, numbers):
        """Deliver some entries of the log in any order."""
        self.now += 1
        chosen = [LOG[number - 1] for number in numbers]
        replica = self.replicas[index]
        self.check_results(replica.offer_entries(chosen, source="log", now=self.now))

    @rule(index=st.integers(0, 2), count=st.integers(1, 15))
    def deliver_next(self, index, count):
        """Deliver the entries that follow the last one of a replica."""
        number = self.replicas[index].held.number
        self.deliver(index, range(number + 1, min(number + count, 40) + 1))

    @rule(sender=st.integers(0, 2), receiver=st.integers(0, 2))
    def exchange_entries(self, sender, receiver):
        """Deliver entries from the history of one replica to another."""
        after = self.replicas[receiver].held.number
        entries = self.replicas[sender].entries_after(after, max_bytes=1000)
        evaluations = self.replicas[receiver].offer_entries(
            entries, source="peer", now=self.now
        )
        self.check_results(evaluations)

    @rule(sender=st.integers(0, 2), receiver=st.integers(0, 2))
    def exchange_snapshot(self, sender, receiver):
        """Offer the snapshot of one replica to another."""
        ahead = self.replicas[sender].held.number > self.replicas[receiver].held.number
        snapshot = self.replicas[sender].snapshot()
        adopted = self.replicas[receiver].offer_snapshot(
            snapshot, source="peer", now=self.now
        )
        assert adopted is ahead

    @rule(index=st.integers(0, 2))
    def restart(self, index):
        """Replace a replica by an empty one."""
        self.replicas[index] = self.empty_replica()
        self.versions[index] = 0

    @rule(index=st.integers(0, 2), number=st.integers(1, 40))
    def deliver_conflicting(self, index, number):
        """Deliver a conflicting entry under a number that is held."""
        replica = self.replicas[index]
        if number <= replica.held.number:
            before = replica.held
            other = conflicting_entry(LOG[number - 1])
            assert replica.offer_entries([other], source="stale", now=self.now) == ()
            assert replica.held is before

    @invariant()
    def matches_the_log(self):
        """Each replica matches the log at its number, and no version decreases."""
        for index, replica in enumerate(self.replicas):
            held = replica.held
            assert held.in_force >= self.versions[index]
            self.versions[index] = held.in_force
            assert held == STATES[held.number]


def expected_states():
    """Return the state of a replica after each entry of the log."""
    replica, _ = new_replica()
    expected = [replica.held]
    for item in LOG:
        replica.offer_entries([item], source="log", now=0.0)
        expected.append(replica.held)
    return expected


STATES = expected_states()
TestReplicas = ReplicaMachine.TestCase
