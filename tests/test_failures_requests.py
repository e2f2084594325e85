"""Keyed requests under failures: the invariants of spec/at_most_once.pml.

A small fleet of real homes takes the tries of one keyed request in any order, with
tries that wait, refusals, lost outcomes, restarts, planned stops and evictions.
``at_most_once``: it runs at most once.  ``not_run_holds``: after ``NOT_RUN`` for the
newest try, neither that try nor an earlier one runs.
"""

from dataclasses import dataclass, field
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule
from pytest import mark

from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.home import ForwardToHome, Home, Refuse, Replay, RunHere
from balsamtide.requests.ledger import ENTRY_TTL_S, Ledger, RecordedAnswer
from balsamtide.requests.stamp import Stamp
from balsamtide.requests.succession import SuccessorSelection, TransferResult
from tests.fakes_requests import make_request, make_service

AGENTS = (1, 2, 3)
SERVICE = make_service(targets=len(AGENTS))
ANSWER = RecordedAnswer(200, (), b"done")
MOST_TRIES = 6
EXAMPLES = max(400, settings().max_examples)


@dataclass(frozen=True, slots=True)
class Try:
    """One try of the request, as the caller sent it."""

    number: int
    attempt: int
    stamp: Stamp


@dataclass(slots=True)
class Fleet:
    """Three agents of one service and one caller with one keyed request."""

    homes: dict[int, Home] = field(default_factory=dict)
    tenures: int = 0
    sequences: int = 0
    now: float = 0.0
    runs: int = 0
    newest: Try | None = None
    answer: Verdict | None = None
    told_not_run: int = 0
    at: dict[int, list[Try]] = field(default_factory=dict)
    queued: dict[int, list[tuple[Try, object]]] = field(default_factory=dict)
    started: list[tuple[Try, object]] = field(default_factory=list)

    def __post_init__(self):
        """Start all agents."""
        for agent in AGENTS:
            self.start_agent(agent)

    def start_agent(self, agent):
        """Start an agent with nothing, in a fresh tenure."""
        self.tenures += 1
        home = Home(SERVICE.number, Ledger(target=agent, tenure=self.tenures))
        home.configure(SERVICE)
        self.homes[agent] = home
        self.at[agent] = []
        self.queued[agent] = []

    def issue(self, agent):
        """Return a fresh stamp of an agent."""
        self.sequences += 1
        tenure = self.homes[agent].ledger.tenure
        return Stamp(SERVICE.number, agent, tenure, self.sequences)

    def send(self, agent, stamp, attempt):
        """Send the next try to an agent; it may wait there for any time."""
        number = 1 if self.newest is None else self.newest.number + 1
        self.newest = Try(number, attempt, stamp)
        self.answer = None
        self.at[agent].append(self.newest)

    def tell(self, sent, verdict):
        """Answer a try; the caller listens only for its newest one."""
        if sent != self.newest or self.answer is not None:
            return
        self.answer = verdict
        if verdict is Verdict.NOT_RUN:
            assert self.runs == 0, "not_run_holds"
            self.told_not_run = sent.number

    def execute(self, sent):
        """Run the request on a target."""
        self.runs += 1
        assert self.runs <= 1, "at_most_once"
        assert sent.number > self.told_not_run, "not_run_holds"

    def take(self, agent):
        """Let an agent take the oldest try that waits for it."""
        sent = self.at[agent].pop(0)
        request = make_request(key="k", attempt=sent.attempt)
        self.follow(
            agent, sent, self.homes[agent].decide(request, sent.stamp, self.now)
        )

    def follow(self, agent, sent, decision):
        """Do what a home decided."""
        match decision:
            case RunHere(keyed):
                self.queued[agent].append((sent, keyed))
            case Replay():
                self.tell(sent, Verdict.RAN)
            case Refuse(refusal):
                self.tell(sent, refusal.verdict)
            case ForwardToHome():
                self.forward(agent, sent, decision)

    def forward(self, agent, sent, decision):
        """Pass a repeat to its home, as the runner for homes does."""
        request = make_request(key="k", attempt=sent.attempt)
        for target in decision.targets:
            if target == agent:
                continue
            answer = self.homes[target].decide_forwarded(request, sent.stamp, self.now)
            is_gone = isinstance(answer, Refuse) and answer.refusal.reason == (
                "tenure-gone"
            )
            if not is_gone:
                self.follow(target, sent, answer)
                return
        self.tell(sent, Verdict.MAY_HAVE_RUN)

    def refuse(self, agent):
        """Let the oldest queued try leave the queue, as the executor settles it."""
        sent, keyed = self.queued[agent].pop(0)
        keyed.release()
        self.tell(sent, Verdict.NOT_RUN)

    def start(self, agent):
        """Start the oldest queued try on a target."""
        sent, keyed = self.queued[agent].pop(0)
        if keyed.start():
            self.execute(sent)
            self.started.append((sent, keyed))
        else:
            self.tell(sent, Verdict.NOT_RUN)

    def finish(self, verdict):
        """End the oldest started try; its outcome may be lost."""
        sent, keyed = self.started.pop(0)
        answer = ANSWER if verdict is Verdict.RAN else None
        keyed.finish(verdict, answer, self.now)
        self.tell(sent, verdict)

    def restart(self, agent):
        """Stop an agent at once and start it with nothing."""
        self.start_agent(agent)

    def stop(self, agent, results):
        """Stop an agent as planned: close, then hand over the ledger."""
        home = self.homes[agent]
        if home.ledger.is_closed:
            return
        home.close()
        snapshot = home.ledger.snapshot(self.now)
        selection = SuccessorSelection([n for n in AGENTS if n != agent])
        while (candidate := selection.candidate) is not None:
            selection.record(self.transfer(candidate, snapshot, results.pop(0)))

    def transfer(self, candidate, snapshot, result):
        """Send a ledger to a candidate; an unsure one may or may not have it."""
        if result is TransferResult.NOT_SENT:
            return result
        is_adopted = self.homes[candidate].adopt(snapshot, self.now)
        if result is TransferResult.UNSURE:
            return result
        return TransferResult.ADOPTED if is_adopted else TransferResult.REFUSED

    def expire(self):
        """Let every recorded outcome expire."""
        self.now += ENTRY_TTL_S + 1
        for home in self.homes.values():
            home.expire(self.now)


agents = st.sampled_from(AGENTS)


class KeyedRequestMachine(RuleBasedStateMachine):
    """One keyed request and its tries, in any order of events."""

    @initialize()
    def first_try(self):
        """Send the first try with a stamp of agent 1."""
        self.fleet = Fleet()
        self.fleet.send(1, self.fleet.issue(1), 1)

    def _may_try(self):
        return (
            self.fleet.newest.number < MOST_TRIES
            and self.fleet.answer is not Verdict.RAN
        )

    @precondition(_may_try)
    @rule(agent=agents)
    def repeat(self, agent):
        """Repeat with the same stamp on any agent."""
        newest = self.fleet.newest
        self.fleet.send(agent, newest.stamp, newest.attempt + 1)

    @precondition(lambda self: self.fleet.answer is Verdict.NOT_RUN and self._may_try())
    @rule(agent=agents)
    def start_over(self, agent):
        """Start over with a fresh stamp after ``NOT_RUN``."""
        self.fleet.send(agent, self.fleet.issue(agent), 1)

    def _waiting(self):
        return [agent for agent in AGENTS if self.fleet.at[agent]]

    def _queued(self):
        return [agent for agent in AGENTS if self.fleet.queued[agent]]

    @precondition(_waiting)
    @rule(choice=st.integers(0, len(AGENTS) - 1))
    def take(self, choice):
        """Let an agent take a try."""
        waiting = self._waiting()
        self.fleet.take(waiting[choice % len(waiting)])

    @precondition(_queued)
    @rule(choice=st.integers(0, len(AGENTS) - 1))
    def refuse(self, choice):
        """Refuse a queued try."""
        queued = self._queued()
        self.fleet.refuse(queued[choice % len(queued)])

    @precondition(_queued)
    @rule(choice=st.integers(0, len(AGENTS) - 1))
    def start(self, choice):
        """Start a queued try."""
        queued = self._queued()
        self.fleet.start(queued[choice % len(queued)])

    @precondition(lambda self: self.fleet.started)
    @rule(verdict=st.sampled_from([Verdict.RAN, Verdict.MAY_HAVE_RUN]))
    def finish(self, verdict):
        """End a started try, or lose its outcome."""
        self.fleet.finish(verdict)

    @rule(agent=agents)
    def restart(self, agent):
        """Restart an agent."""
        self.fleet.restart(agent)

    @rule(
        agent=agents,
        results=st.lists(st.sampled_from(TransferResult), min_size=2, max_size=2),
    )
    def stop(self, agent, results):
        """Stop an agent as planned."""
        self.fleet.stop(agent, list(results))

    @rule()
    def expire(self):
        """Let all outcomes expire."""
        self.fleet.expire()


KeyedRequestMachine.TestCase.settings = settings(
    max_examples=EXAMPLES, stateful_step_count=30
)
TestKeyedRequests = KeyedRequestMachine.TestCase


FAILURES = {
    "restart": lambda fleet: fleet.restart(1),
    "stop": lambda fleet: fleet.stop(1, [TransferResult.ADOPTED] * 2),
    "unsure-stop": lambda fleet: fleet.stop(1, [TransferResult.UNSURE] * 2),
    "lost-outcome": lambda fleet: fleet.started and fleet.finish(Verdict.MAY_HAVE_RUN),
    "expiry": lambda fleet: fleet.expire(),
    "peer-restart": lambda fleet: fleet.restart(2),
    "pause": lambda fleet: None,
}


@mark.parametrize("second", FAILURES)
@mark.parametrize("first", FAILURES)
@mark.parametrize("is_started", [True, False], ids=["started", "queued"])
def test_any_two_failures_keep_at_most_once(first, second, is_started):
    """A request that is repeated everywhere after two failures runs at most once."""
    fleet = Fleet()
    stamp = fleet.issue(1)
    fleet.send(1, stamp, 1)
    fleet.take(1)
    if is_started:
        fleet.start(1)
    FAILURES[first](fleet)
    fleet.send(2, stamp, 2)
    FAILURES[second](fleet)
    fleet.send(3, stamp, 3)
    _drain(fleet, Random(1))
    assert fleet.runs <= 1


def _drain(fleet, random):
    for _ in range(20):
        agent = random.choice(AGENTS)
        if fleet.at[agent]:
            fleet.take(agent)
        elif fleet.queued[agent]:
            fleet.start(agent)


def test_refused_repeat_bars_the_earlier_try():
    """After a repeat was refused ``NOT_RUN``, the first try that waited never runs."""
    fleet = Fleet()
    stamp = fleet.issue(1)
    fleet.send(1, stamp, 1)
    first = fleet.at[1].pop()
    fleet.send(2, stamp, 2)
    fleet.take(2)
    fleet.refuse(1)
    assert fleet.told_not_run == 2
    fleet.at[1].append(first)
    fleet.take(1)
    assert not fleet.queued[1]
    assert fleet.runs == 0
