"""At-most-once execution and correct verdicts under injected faults."""

from functools import partial
from os import environ

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from pytest import mark

from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.ledger import ClaimResult, Identity, Ledger, RecordedAnswer
from bench.at_most_once_model import SERVICE, AtMostOnceModel, Faults
from bench.measures.at_most_once import FAULTS, UnfencedHome, tally_seeds

BATCH = 200
# ``bench.soak`` sets the variable to run more seeds: a batch per 100 examples.
BATCHES = 6 + int(environ.get("BALSAMTIDE_SOAK_EXAMPLES", "0")) // 100
MACHINE_EXAMPLES = 300


@mark.parametrize("batch", range(BATCHES))
def test_no_seed_runs_twice_or_gives_a_false_verdict(batch):
    """With all faults combined no request runs twice and all verdicts are true."""
    first = 10_000 + batch * BATCH
    tally = tally_seeds(range(first, first + BATCH), FAULTS)
    assert (tally.doubled, tally.false_not_run, tally.false_ran) == (0, 0, 0)
    # AtMostOnceModel sends 30 requests per seed; each has one final verdict.
    assert tally.told.total() == BATCH * 30


def test_checks_detect_a_home_that_ignores_tenures():
    """The same checks report requests run twice by a home that ignores tenures."""
    home = partial(UnfencedHome, SERVICE)
    assert tally_seeds(range(20), FAULTS, make_home=home).doubled > 0


@mark.parametrize(
    ("faults", "limit"),
    [(Faults(refused=0, failed=0), 0), (Faults(stop_s=0.5), 0)],
    ids=["no faults", "planned stops"],
)
def test_planned_stops_give_definite_verdicts(faults, limit):
    """Without faults or with planned stops only, no verdict is ``MAY_HAVE_RUN``.

    Planned stops happen every ``stop_s`` seconds on average.  The default shares of
    refused and failed runs, 5 % each, stay in that row, since they give ``NOT_RUN``.
    """
    for seed in range(30):
        verdicts = AtMostOnceModel(seed, faults).run().told
        assert verdicts[Verdict.MAY_HAVE_RUN] <= limit


identities = st.builds(Identity, st.integers(1, 6), st.sampled_from(["a", "b"]))


class LedgerMachine(RuleBasedStateMachine):
    """A ledger, its successors, and claim holders that act late or repeatedly."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.ledgers = [Ledger(target=1, tenure=1, capacity=4)]
        self.claims = []
        # Keys: the identities that ran; the values are not used.
        self.runs = {}
        self.refused = {}

    @property
    def ledger(self):
        """The ledger that is currently open."""
        return self.ledgers[-1]

    @rule(identity=identities, attempt=st.integers(1, 4), where=st.integers(0, 9))
    def claim(self, identity, attempt, where):
        """Claim an identity, perhaps at a ledger that is closed."""
        ledger = self.ledgers[where % len(self.ledgers)]
        result = ledger.claim(identity, self.now, attempt=attempt)
        if result is ClaimResult.GRANTED:
            self.claims.append((ledger, identity, ledger.last_claim, attempt))
        if result in (ClaimResult.SUPERSEDED, ClaimResult.CLOSED) and attempt > 1:
            self._refuse(identity, attempt)

    def _refuse(self, identity, attempt):
        assert identity not in self.runs
        self.refused[identity] = max(attempt, self.refused.get(identity, 0))

    @rule(index=st.integers(0, 99))
    def start(self, index):
        """Start a claim, perhaps one that is no longer held."""
        if not self.claims:
            return
        ledger, identity, number, attempt = self.claims[index % len(self.claims)]
        if ledger.start(identity, number):
            assert identity not in self.runs, "ran twice"
            assert attempt > self.refused.get(identity, 0), "ran after not-run"
            self.runs[identity] = False

    @rule(index=st.integers(0, 99), verdict=st.sampled_from(Verdict))
    def finish(self, index, verdict):
        """Finish a started claim that is still held."""
        if not self.claims:
            return
        ledger, identity, number, attempt = self.claims[index % len(self.claims)]
        entry = ledger.get(identity)
        is_holder = entry is not None and entry.claim == number
        if not is_holder or entry.state.value != "started":
            return
        ledger.finish(identity, number, verdict, RecordedAnswer(200, (), b""), self.now)
        if verdict is Verdict.NOT_RUN:
            del self.runs[identity]
            if attempt > 1:
                self._refuse(identity, attempt)

    @rule(index=st.integers(0, 99))
    def release(self, index):
        """Release a claim that was not started."""
        if not self.claims:
            return
        ledger, identity, number, attempt = self.claims[index % len(self.claims)]
        entry = ledger.get(identity)
        if entry and entry.claim == number and entry.state.value == "claimed":
            ledger.release(identity, number)
            if attempt > 1:
                self._refuse(identity, attempt)

    @rule(seconds=st.sampled_from([1.0, 700.0]))
    def wait(self, seconds):
        """Advance the time and expire entries."""
        self.now += seconds
        self.ledger.expire(self.now)

    @rule()
    def transfer_to_successor(self):
        """Close the ledger and transfer it to a successor, at most four times."""
        if len(self.ledgers) > 4:
            return
        self.ledger.close()
        snapshot = self.ledger.snapshot(self.now)
        self.ledgers.append(Ledger.from_snapshot(snapshot, self.now, capacity=4))

    @invariant()
    def is_bounded(self):
        """Check that the open ledger doesn't exceed its capacity."""
        assert len(self.ledger.entries) <= 4


LedgerMachine.TestCase.settings = settings(
    max_examples=max(MACHINE_EXAMPLES, settings().max_examples),
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
)
TestLedger = LedgerMachine.TestCase
