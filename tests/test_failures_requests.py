"""Keyed requests under failures: the invariants of spec/at_most_once.pml.

Three homes receive the attempts of one keyed request in any order, with delayed
attempts, refusals, lost outcomes, restarts, planned stops and expired entries.
``at_most_once``: the request runs at most once.  ``not_run_holds``: after ``NOT_RUN``
for the newest attempt, neither that attempt nor an earlier one runs.
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
MAX_ATTEMPTS = 6
EXAMPLES = max(400, settings().max_examples)


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt at the request, as the caller sent it.

    ``send_number`` counts all attempts; ``attempt_header`` starts again at 1 with a new
    stamp.
    """

    send_number: int
    attempt_header: int
    stamp: Stamp


@dataclass(slots=True)
class Fleet:
    """Three agents of one service and one caller with one keyed request."""

    homes: dict[int, Home] = field(default_factory=dict)
    last_tenure: int = 0
    last_sequence: int = 0
    now: float = 0.0
    runs: int = 0
    newest: Attempt | None = None
    reported_verdict: Verdict | None = None
    last_not_run: int = 0
    in_transit: dict[int, list[Attempt]] = field(default_factory=dict)
    queued: dict[int, list[tuple[Attempt, object]]] = field(default_factory=dict)
    started: list[tuple[Attempt, object]] = field(default_factory=list)

    def __post_init__(self):
        """Start all agents."""
        for agent in AGENTS:
            self.start_agent(agent)

    def start_agent(self, agent):
        """Start an agent with an empty ledger and a new tenure."""
        self.last_tenure += 1
        home = Home(SERVICE.number, Ledger(target=agent, tenure=self.last_tenure))
        home.configure(SERVICE)
        self.homes[agent] = home
        self.in_transit[agent] = []
        self.queued[agent] = []

    def issue(self, agent):
        """Return a new stamp of an agent."""
        self.last_sequence += 1
        tenure = self.homes[agent].ledger.tenure
        return Stamp(SERVICE.number, agent, tenure, self.last_sequence)

    def send(self, agent, stamp, attempt):
        """Send the next attempt to an agent, where it may be delayed."""
        number = 1 if self.newest is None else self.newest.send_number + 1
        self.newest = Attempt(number, attempt, stamp)
        self.reported_verdict = None
        self.in_transit[agent].append(self.newest)

    def report(self, sent, verdict):
        """Report a verdict to the caller, which ignores all but the newest attempt."""
        if sent != self.newest or self.reported_verdict is not None:
            return
        self.reported_verdict = verdict
        if verdict is Verdict.NOT_RUN:
            assert self.runs == 0, "not_run_holds"
            self.last_not_run = sent.send_number

    def execute(self, sent):
        """Run the request on a target."""
        self.runs += 1
        assert self.runs <= 1, "at_most_once"
        assert sent.send_number > self.last_not_run, "not_run_holds"

    def receive(self, agent):
        """Let an agent receive the oldest attempt that was sent to it."""
        sent = self.in_transit[agent].pop(0)
        request = make_request(key="k", attempt=sent.attempt_header)
        self.apply(agent, sent, self.homes[agent].decide(request, sent.stamp, self.now))

    def apply(self, agent, sent, decision):
        """Carry out the decision of a home."""
        match decision:
            case RunHere(keyed):
                self.queued[agent].append((sent, keyed))
            case Replay():
                self.report(sent, Verdict.RAN)
            case Refuse(refusal):
                self.report(sent, refusal.verdict)
            case ForwardToHome():
                self.forward(agent, sent, decision)

    def forward(self, agent, sent, decision):
        """Forward a retry to its home, as ``HomeRunner`` does."""
        request = make_request(key="k", attempt=sent.attempt_header)
        for target in decision.targets:
            if target == agent:
                continue
            reply = self.homes[target].decide_forwarded(request, sent.stamp, self.now)
            is_gone = isinstance(reply, Refuse) and reply.refusal.reason == (
                "tenure-gone"
            )
            if not is_gone:
                self.apply(target, sent, reply)
                return
        self.report(sent, Verdict.MAY_HAVE_RUN)

    def refuse(self, agent):
        """Refuse the oldest queued attempt, which releases its claim."""
        sent, keyed = self.queued[agent].pop(0)
        keyed.release()
        self.report(sent, Verdict.NOT_RUN)

    def start(self, agent):
        """Start the oldest queued attempt on a target."""
        sent, keyed = self.queued[agent].pop(0)
        if keyed.start():
            self.execute(sent)
            self.started.append((sent, keyed))
        else:
            self.report(sent, Verdict.NOT_RUN)

    def finish(self, verdict):
        """End the oldest started attempt; its outcome may be lost."""
        sent, keyed = self.started.pop(0)
        answer = ANSWER if verdict is Verdict.RAN else None
        keyed.finish(verdict, answer, self.now)
        self.report(sent, verdict)

    def restart(self, agent):
        """Kill an agent and start it with an empty ledger."""
        self.start_agent(agent)

    def stop(self, agent, results):
        """Stop an agent as planned: close its home and transfer the ledger."""
        home = self.homes[agent]
        if home.ledger.is_closed:
            return
        home.close()
        snapshot = home.ledger.snapshot(self.now)
        selection = SuccessorSelection([n for n in AGENTS if n != agent])
        while (candidate := selection.candidate) is not None:
            selection.record(self.transfer(candidate, snapshot, results.pop(0)))

    def transfer(self, candidate, snapshot, result):
        """Send a snapshot to a candidate; the reply is lost if ``result`` is UNSURE."""
        if result is TransferResult.NOT_SENT:
            return result
        is_adopted = self.homes[candidate].adopt(snapshot, self.now)
        if result is TransferResult.UNSURE:
            return result
        return TransferResult.ADOPTED if is_adopted else TransferResult.REFUSED

    def expire(self):
        """Let all recorded outcomes expire."""
        self.now += ENTRY_TTL_S + 1
        for home in self.homes.values():
            home.expire(self.now)


agents = st.sampled_from(AGENTS)


class KeyedRequestMachine(RuleBasedStateMachine):
    """One keyed request and its attempts, with events in any order."""

    @initialize()
    def first_attempt(self):
        """Send the first attempt with a stamp of agent 1."""
        self.fleet = Fleet()
        self.fleet.send(1, self.fleet.issue(1), 1)

    def _may_retry(self):
        return (
            self.fleet.newest.send_number < MAX_ATTEMPTS
            and self.fleet.reported_verdict is not Verdict.RAN
        )

    @precondition(_may_retry)
    @rule(agent=agents)
    def retry(self, agent):
        """Retry with the same stamp at any agent."""
        newest = self.fleet.newest
        self.fleet.send(agent, newest.stamp, newest.attempt_header + 1)

    @precondition(
        lambda self: (
            self.fleet.reported_verdict is Verdict.NOT_RUN and self._may_retry()
        )
    )
    @rule(agent=agents)
    def retry_afresh(self, agent):
        """Make a new first attempt with a new stamp after ``NOT_RUN``."""
        self.fleet.send(agent, self.fleet.issue(agent), 1)

    def _with_arrivals(self):
        return [agent for agent in AGENTS if self.fleet.in_transit[agent]]

    def _queued(self):
        return [agent for agent in AGENTS if self.fleet.queued[agent]]

    @precondition(_with_arrivals)
    @rule(choice=st.integers(0, len(AGENTS) - 1))
    def receive(self, choice):
        """Let an agent receive an attempt."""
        receivers = self._with_arrivals()
        self.fleet.receive(receivers[choice % len(receivers)])

    @precondition(_queued)
    @rule(choice=st.integers(0, len(AGENTS) - 1))
    def refuse(self, choice):
        """Refuse a queued attempt."""
        queued = self._queued()
        self.fleet.refuse(queued[choice % len(queued)])

    @precondition(_queued)
    @rule(choice=st.integers(0, len(AGENTS) - 1))
    def start(self, choice):
        """Start a queued attempt."""
        queued = self._queued()
        self.fleet.start(queued[choice % len(queued)])

    @precondition(lambda self: self.fleet.started)
    @rule(verdict=st.sampled_from([Verdict.RAN, Verdict.MAY_HAVE_RUN]))
    def finish(self, verdict):
        """End a started attempt, or lose its outcome."""
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
        """Expire all outcomes."""
        self.fleet.expire()


KeyedRequestMachine.TestCase.settings = settings(
    max_examples=EXAMPLES, stateful_step_count=30
)
TestKeyedRequests = KeyedRequestMachine.TestCase


# "lost-outcome" does nothing if the request was only queued.
FAILURES = {
    "restart": lambda fleet: fleet.restart(1),
    "stop": lambda fleet: fleet.stop(1, [TransferResult.ADOPTED] * 2),
    "unsure-stop": lambda fleet: fleet.stop(1, [TransferResult.UNSURE] * 2),
    "lost-outcome": lambda fleet: fleet.started and fleet.finish(Verdict.MAY_HAVE_RUN),
    "expiry": lambda fleet: fleet.expire(),
    "peer-restart": lambda fleet: fleet.restart(2),
    "none": lambda fleet: None,
}


@mark.parametrize("second", FAILURES)
@mark.parametrize("first", FAILURES)
@mark.parametrize("is_started", [True, False], ids=["started", "queued"])
def test_any_two_failures_keep_at_most_once(first, second, is_started):
    """A request retried at two other agents, after each failure, runs at most once."""
    fleet = Fleet()
    stamp = fleet.issue(1)
    fleet.send(1, stamp, 1)
    fleet.receive(1)
    if is_started:
        fleet.start(1)
    FAILURES[first](fleet)
    fleet.send(2, stamp, 2)
    FAILURES[second](fleet)
    fleet.send(3, stamp, 3)
    _drain(fleet, Random(1))
    assert fleet.runs <= 1


def _drain(fleet, random):
    """Let random agents receive or start attempts, in 20 steps; some may be left."""
    for _ in range(20):
        agent = random.choice(AGENTS)
        if fleet.in_transit[agent]:
            fleet.receive(agent)
        elif fleet.queued[agent]:
            fleet.start(agent)


def test_refused_retry_prevents_the_earlier_attempt():
    """After a retry was refused, a delayed first attempt never runs."""
    fleet = Fleet()
    stamp = fleet.issue(1)
    fleet.send(1, stamp, 1)
    first = fleet.in_transit[1].pop()
    fleet.send(2, stamp, 2)
    fleet.receive(2)
    fleet.refuse(1)
    assert fleet.last_not_run == 2
    fleet.in_transit[1].append(first)
    fleet.receive(1)
    assert not fleet.queued[1]
    assert fleet.runs == 0
