"""Keyed requests under pauses, restarts, partitions, late and lost messages.

Homes, ledgers, stamps, hand-off bookkeeping and successions are the real classes;
callers, the network and targets are fakes.  Every run is a function of its seed.
"""

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from functools import partial
from heapq import heappop, heappush
from random import Random

from balsamtide.config.model import Service
from balsamtide.protocol.messages import TenureClosed
from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.exits import Exit
from balsamtide.requests.hand_off import HandOffReceiver, HandOffSender
from balsamtide.requests.home import (
    ForwardToHome,
    Home,
    KeyedRun,
    Refuse,
    Replay,
    RunHere,
)
from balsamtide.requests.ledger import Ledger, LedgerSnapshot, RecordedAnswer
from balsamtide.requests.model import RequestFacts
from balsamtide.requests.stamp import Stamp
from balsamtide.requests.succession import (
    SuccessorSelection,
    TransferResult,
    successors,
)
from bench.load_model import Deployment

__all__ = ["AtMostOnceModel", "Faults", "Tally"]

REPLY_TIMEOUT_S = 0.5
DEADLINE_S = 5.0
MOST_ATTEMPTS = 4
RETRY_S = 0.1
SERVICE = 1
ANSWER = RecordedAnswer(200, (), b"")

Reply = Callable[[Verdict, int], None]


@dataclass(frozen=True, slots=True, kw_only=True)
class Faults:
    """How often things go wrong.

    Parameters
    ----------
    lost, late : float
        Share of messages that are lost, or late by up to ``late_s``.
    late_s : float
        Most delay of a late message, seconds.
    crash_s, stop_s, pause_s, split_s : float
        Mean time between crashes, planned stops, pauses and partitions, seconds; 0
        for none.
    refused, failed : float
        Share of runs that admission refuses, or that the target refuses as not run.
    """

    lost: float = 0.0
    late: float = 0.0
    late_s: float = 2.0
    crash_s: float = 0.0
    stop_s: float = 0.0
    pause_s: float = 0.0
    split_s: float = 0.0
    refused: float = 0.05
    failed: float = 0.05


@dataclass(slots=True)
class Tally:
    """What the callers were told and what happened.

    Parameters
    ----------
    told : Counter of Verdict
        Final verdicts.
    doubled : int
        Requests that ran more than once.
    false_not_run : int
        Requests that ran although the caller was told that they did not.
    false_ran : int
        Requests that did not run although the caller was told that they did.
    """

    told: Counter[Verdict]
    doubled: int = 0
    false_not_run: int = 0
    false_ran: int = 0


class Agent:
    """One agent process; a restart makes a new one."""

    def __init__(self, model: "AtMostOnceModel", number: int) -> None:
        tenure = model.random.getrandbits(64)
        self.number = number
        self.home = model.make_home(Ledger(target=number, tenure=tenure, capacity=64))
        self.home.configure(model.service)
        self.sequence = 0
        self.paused_until = 0.0
        self.is_alive = True

    def issue(self) -> Stamp:
        """Return a fresh stamp."""
        self.sequence += 1
        ledger = self.home.ledger
        return Stamp(SERVICE, self.number, ledger.tenure, self.sequence)


class AtMostOnceModel:
    """A service whose agents fail while callers send keyed requests.

    Parameters
    ----------
    seed : int
        Seed of all randomness.
    faults : Faults
        What goes wrong.
    agents, requests : int
        Size of the run.
    spacing_s : float
        Mean time between requests, seconds.
    make_home : callable
        Makes the home of one agent.
    """

    def __init__(
        self,
        seed: int,
        faults: Faults,
        *,
        agents: int = 4,
        requests: int = 30,
        spacing_s: float = 0.05,
        make_home: Callable[[Ledger], Home] | None = None,
    ) -> None:
        self.random = Random(seed)
        self.faults = faults
        self.make_home = make_home or partial(Home, SERVICE)
        deployment = Deployment(name="", targets=agents, slots=1)
        self.service: Service = deployment.service()
        self.now = 0.0
        self.count = 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.agents = {n: Agent(self, n) for n in range(1, agents + 1)}
        self.split: set[int] = set()
        self.runs: Counter[str] = Counter()
        self.told: dict[str, Verdict] = {}
        self.end = requests * spacing_s
        for number in range(requests):
            self.at(number * spacing_s, partial(self._send_first, f"k{number}"))
        self._plan(faults.crash_s, self._crash)
        self._plan(faults.stop_s, self._stop)
        self._plan(faults.pause_s, self._pause)
        self._plan(faults.split_s, self._split)

    def run(self) -> Tally:
        """Run to the last event and compare what was told with what happened."""
        while self.events:
            self.now, _, call = heappop(self.events)
            call()
        tally = Tally(Counter(self.told.values()))
        for key, verdict in self.told.items():
            runs = self.runs[key]
            tally.doubled += runs > 1
            tally.false_not_run += verdict is Verdict.NOT_RUN and runs > 0
            tally.false_ran += verdict is Verdict.RAN and runs == 0
        return tally

    # Events, messages and faults

    def at(self, time: float, call: Callable[[], None]) -> None:
        """Call ``call`` at ``time``."""
        self.count += 1
        heappush(self.events, (time, self.count, call))

    def _plan(self, mean_s: float, fault: Callable[[], None]) -> None:
        time = 0.0
        while mean_s and time < self.end:
            time += self.random.expovariate(1 / mean_s)
            self.at(time, fault)

    def _delay(self) -> float:
        if self.random.random() < self.faults.late:
            return self.random.uniform(0, self.faults.late_s)
        return self.random.uniform(0.0005, 0.002)

    def _post(self, sender: int, receiver: int, call: Callable[[Agent], None]) -> None:
        """Send a message; 0 stands for a caller, which partitions don't touch."""
        if self.random.random() < self.faults.lost:
            return
        if sender and receiver and (sender in self.split) != (receiver in self.split):
            return
        self.at(self.now + self._delay(), partial(self._deliver, receiver, call))

    def _deliver(self, receiver: int, call: Callable[[Agent], None]) -> None:
        self._act(self.agents[receiver], call)

    def _act(self, agent: Agent, call: Callable[[Agent], None]) -> None:
        """Let an agent act; one that is paused acts when it wakes."""
        if not agent.is_alive:
            return
        if self.now < agent.paused_until:
            self.at(agent.paused_until, partial(self._act, agent, call))
            return
        call(agent)

    def _answer(self, reply: Reply, verdict: Verdict, status: int = 0) -> None:
        if self.random.random() >= self.faults.lost:
            self.at(self.now + self._delay(), partial(reply, verdict, status))

    def _any(self) -> Agent:
        return self.random.choice(list(self.agents.values()))

    def _crash(self) -> None:
        self._replace(self._any())

    def _replace(self, agent: Agent) -> None:
        agent.is_alive = False
        self.agents[agent.number] = Agent(self, agent.number)

    def _pause(self) -> None:
        self._any().paused_until = self.now + self.random.uniform(0.01, 2.0)

    def _split(self) -> None:
        numbers = list(self.agents)
        self.split = set(self.random.sample(numbers, len(numbers) // 2))
        self.at(self.now + self.random.uniform(0.05, 1.0), self.split.clear)

    # Planned stops

    def _stop(self) -> None:
        self.stop(self._any())

    def stop(self, agent: Agent) -> None:
        """Close the ledger, let it drain, hand it over and restart."""
        if agent.home.ledger.is_closed:
            return
        agent.home.close()
        self.at(self.now + 0.2, partial(self._act, agent, self._hand_over))

    def _hand_over(self, agent: Agent) -> None:
        order = successors(self.service, agent.number)
        ledgers = [agent.home.ledger, *agent.home.adopted.values()]
        for ledger in ledgers:
            snapshot = ledger.snapshot(self.now)
            self._send_snapshot(agent, snapshot, SuccessorSelection(order))
        self.at(self.now + 0.5, partial(self._act, agent, self._replace))

    def _send_snapshot(
        self, agent: Agent, snapshot: LedgerSnapshot, selection: SuccessorSelection
    ) -> None:
        target = selection.candidate
        if target is None:
            return
        results: list[TransferResult] = []

        def adopt(peer: Agent) -> None:
            is_adopted = peer.home.adopt(snapshot, self.now)
            result = TransferResult.ADOPTED if is_adopted else TransferResult.REFUSED
            self._post(peer.number, agent.number, lambda _: results.append(result))

        def judge(agent: Agent) -> None:
            result = results[0] if results else TransferResult.UNSURE
            selection.record(result)
            if selection.successor is not None:
                self._announce(agent, snapshot.tenure, selection.successor)
            elif not selection.is_done:
                self._send_snapshot(agent, snapshot, selection)

        self._post(agent.number, target, adopt)
        self.at(self.now + 0.02, partial(self._act, agent, judge))

    def _announce(self, agent: Agent, tenure: int, successor: int) -> None:
        message = TenureClosed("", 1, SERVICE, agent.number, tenure, successor)
        for number in self.agents:
            self._post(
                agent.number, number, lambda peer: peer.home.record_closure(message)
            )

    # Callers

    def _send_first(self, key: str) -> None:
        agent = self._any()
        stamp = agent.issue()
        self._send(key, agent.number, stamp, 1, MOST_ATTEMPTS)

    def _send(
        self, key: str, number: int, stamp: Stamp, attempt: int, left: int
    ) -> None:
        is_open = True

        def reply(verdict: Verdict, status: int) -> None:
            nonlocal is_open
            if is_open:
                is_open = False
                self._take(key, stamp, attempt, left - 1, verdict, status)

        facts = RequestFacts(
            request_id=f"{key}/{attempt}/{left}",
            service="s",
            route="/",
            method="POST",
            is_idempotent=False,
            key=key,
            attempt=attempt,
            caller="c",
            arrived=self.now,
            deadline=self.now + DEADLINE_S,
        )
        self._post(0, number, lambda agent: self._receive(agent, facts, stamp, reply))
        timeout = partial(reply, Verdict.MAY_HAVE_RUN, 0)
        self.at(self.now + REPLY_TIMEOUT_S, timeout)

    def _take(
        self,
        key: str,
        stamp: Stamp,
        attempt: int,
        left: int,
        verdict: Verdict,
        status: int,
    ) -> None:
        if verdict is Verdict.RAN or not left:
            self.told[key] = verdict
            return
        wait = self.random.uniform(RETRY_S, 2 * RETRY_S)
        again = partial(self._again, key, stamp, attempt, left, verdict)
        self.at(self.now + wait, again)

    def _again(
        self, key: str, stamp: Stamp, attempt: int, left: int, verdict: Verdict
    ) -> None:
        """Repeat under the old stamp unless all tries under it did not run."""
        agent = self._any()
        if verdict is Verdict.NOT_RUN:
            self._send(key, agent.number, agent.issue(), 1, left)
            return
        self._send(key, agent.number, stamp, attempt + 1, left)

    # Agents

    def _receive(
        self, agent: Agent, facts: RequestFacts, stamp: Stamp, reply: Reply
    ) -> None:
        facts = replace(facts, arrived=self.now, deadline=self.now + DEADLINE_S)
        decision = agent.home.decide(facts, stamp, self.now)
        if isinstance(decision, ForwardToHome):
            self._ask(agent, facts, decision.targets, stamp, reply)
            return
        self._follow(agent, facts, decision, reply)

    def _follow(
        self,
        agent: Agent,
        facts: RequestFacts,
        decision: RunHere | Replay | Refuse | ForwardToHome,
        reply: Reply,
    ) -> None:
        match decision:
            case RunHere(keyed):
                assert keyed is not None
                wait = self.random.uniform(0, 0.05)
                run = partial(self._admit, facts=facts, keyed=keyed, reply=reply)
                self.at(self.now + wait, partial(self._act, agent, run))
            case Replay():
                self._answer(reply, Verdict.RAN)
            case Refuse(refusal):
                self._answer(reply, refusal.verdict, refusal.status)

    def _ask(
        self,
        agent: Agent,
        facts: RequestFacts,
        targets: Sequence[int],
        stamp: Stamp,
        reply: Reply,
    ) -> None:
        """Ask candidates in turn; one that isn't the home is passed over."""
        if not targets:
            self._answer(reply, Verdict.MAY_HAVE_RUN)
            return
        is_open = True

        def pass_on(agent: Agent) -> None:
            nonlocal is_open
            if is_open:
                is_open = False
                self._ask(agent, facts, targets[1:], stamp, reply)

        def close(verdict: Verdict, status: int) -> None:
            nonlocal is_open
            if is_open:
                is_open = False
                self._answer(reply, verdict, status)

        def serve(peer: Agent) -> None:
            decision = peer.home.decide_forwarded(facts, stamp, self.now)
            if decision == Refuse(Exit.TENURE_GONE.refusal()):
                self._post(peer.number, agent.number, pass_on)
                return

            def back(verdict: Verdict, status: int) -> None:
                call = partial(close, verdict, status)
                self._post(peer.number, agent.number, lambda _: call())

            self._follow(peer, facts, decision, back)

        self._post(agent.number, targets[0], serve)
        self.at(self.now + 0.1, partial(self._act, agent, pass_on))

    def _admit(
        self, agent: Agent, facts: RequestFacts, keyed: KeyedRun, reply: Reply
    ) -> None:
        if self.random.random() < self.faults.refused:
            keyed.release()
            self._answer(reply, Verdict.NOT_RUN, 503)
            return
        if self.random.random() < 0.5:
            self._hand_off(agent, facts, keyed, reply)
            return
        self._run_here(agent, facts, keyed, reply)

    def _run_here(
        self, agent: Agent, facts: RequestFacts, keyed: KeyedRun, reply: Reply
    ) -> None:
        if not keyed.start():
            self._answer(reply, Verdict.NOT_RUN, 503)
            return
        verdict = self._execute(facts)
        end = partial(self._end, keyed=keyed, verdict=verdict, reply=reply)
        time = self.now + self.random.uniform(0.005, 0.1)
        self.at(time, partial(self._act, agent, end))

    def _execute(self, facts: RequestFacts) -> Verdict:
        if self.random.random() < self.faults.failed:
            return Verdict.NOT_RUN
        assert facts.key is not None
        self.runs[facts.key] += 1
        return Verdict.RAN

    def _end(
        self, agent: Agent, keyed: KeyedRun, verdict: Verdict, reply: Reply
    ) -> None:
        answer = ANSWER if verdict is Verdict.RAN else None
        keyed.finish(verdict, answer, self.now)
        self._answer(reply, verdict, 503)

    def _hand_off(
        self, agent: Agent, facts: RequestFacts, keyed: KeyedRun, reply: Reply
    ) -> None:
        peers = [number for number in self.agents if number != agent.number]
        peer = self.random.choice(peers)
        sender = HandOffSender(facts, self.now)
        offer = sender.offer(self.now)
        is_open = True

        def receive(peer: Agent) -> None:
            receiver = HandOffReceiver(offer, self.now)
            grant = receiver.issue_grant(self.now)
            self._post(
                peer.number, agent.number, lambda agent: use(agent, receiver, grant)
            )

        def use(agent: Agent, receiver: HandOffReceiver, grant) -> None:  # type: ignore[no-untyped-def]
            nonlocal is_open
            if not is_open:
                return
            is_open = False
            sender.accept_grant(grant)
            if not keyed.start():
                self._answer(reply, Verdict.NOT_RUN, 503)
                return
            if not sender.use_grant(self.now):
                keyed.revert_start()
                self._run_here(agent, facts, keyed, reply)
                return
            self._post(agent.number, peer, lambda other: run(other, receiver))
            self.at(self.now + 0.3, partial(self._act, agent, lost))

        def run(other: Agent, receiver: HandOffReceiver) -> None:
            verdict = Verdict.NOT_RUN
            if receiver.use_grant(self.now):
                verdict = self._execute(facts)
            self._post(other.number, agent.number, lambda agent: finish(agent, verdict))

        is_ended = False

        def finish(agent: Agent, verdict: Verdict) -> None:
            nonlocal is_ended
            if not is_ended:
                is_ended = True
                self._end(agent, keyed, verdict, reply)

        def lost(agent: Agent) -> None:
            finish(agent, sender.exit_on_loss(is_silent=True).verdict)

        def no_grant(agent: Agent) -> None:
            nonlocal is_open
            if is_open:
                is_open = False
                self._run_here(agent, facts, keyed, reply)

        self._post(agent.number, peer, receive)
        due = max(sender.offer_reply_deadline, self.now)
        self.at(due, partial(self._act, agent, no_grant))
