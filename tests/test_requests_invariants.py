"""Invariants of ``DeadlineAdmission`` for any order of events."""

from collections import Counter
from random import Random

from hypothesis import given
from hypothesis import strategies as st
from pytest import mark

from balsamtide.admission import Refuse, Start, Transfer
from balsamtide.requests.exits import Exit
from bench.load_model import (
    ARTWORK,
    TIMETABLE,
    Deployment,
    LoadModel,
    deadline_policy,
)
from tests.fakes_requests import make_request, make_service
from tests.test_requests_admission import load_report, make_admission

ENDS = (
    Exit.ANSWERED.outcome(status=200, service_time_s=0.02),
    Exit.ANSWERED.outcome(status=500, service_time_s=0.001),
    Exit.TARGET_SHED.outcome(),
    Exit.TARGET_TIMEOUT.outcome(),
    Exit.CONNECT_REFUSED.outcome(),
)
STEPS = (
    "arrive", "arrive", "finish", "cancel", "fail", "offer", "await", "use", "use",
    "tick", "report"
)  # fmt: skip


class Driver:
    """Applies random events to a policy and checks its decisions.

    Reservations last for GRANT_TTL_S, 0.05 s; offers wait for OFFER_TIMEOUT_S, 0.03 s.
    """

    def __init__(self, slots, random):
        self.policy = make_admission(make_service(5, slots, queue=6))
        self.random = random
        self.slots = slots
        self.now = 0.0
        self.arrived = set()
        self.running = set()
        self.transferring = set()
        self.granted = {}
        self.decided = Counter()

    def apply(self, decisions):
        """Check and apply decisions."""
        for decision in decisions:
            request_id = decision.request_id
            assert request_id in self.arrived
            match decision:
                case Start():
                    assert request_id not in self.running | self.transferring
                    self.running.add(request_id)
                    self.decided[request_id] += 1
                case Refuse(_, refusal):
                    assert refusal.verdict.value == "not-run"
                    assert request_id not in self.running | self.transferring
                    self.decided[request_id] += 1
                case Transfer(_, targets):
                    assert targets and 1 not in targets
                    self.transferring.add(request_id)
            assert self.decided[request_id] <= 1
        for request_id in self.policy.pop_granted():
            self.granted[request_id] = self.now + 0.05
        assert len(self.running) <= self.slots
        assert self.policy.slots.held <= self.slots
        assert all(len(queue) <= 6 for queue in self.policy.queues.values())

    def pick(self, names):
        """Return a random name, empty if there is none."""
        return self.random.choice(sorted(names)) if names else ""

    def step(self, kind, number):
        """Apply one event."""
        self.now += self.random.choice((0.0, 0.001, 0.02, 0.06))
        request = make_request(
            f"r{number:03}",
            route=self.random.choice(("/", "/exports")),
            attempt=self.random.choice((1, 1, 2)),
            caller=self.random.choice("ab"),
            arrived=self.now,
            deadline=self.now + self.random.choice((0.01, 0.5, 60.0)),
        )
        policy, now = self.policy, self.now
        match kind:
            case "arrive":
                self.arrived.add(request.request_id)
                self.apply(policy.arrive(request, now))
            case "finish" if self.running:
                request_id = self.pick(self.running)
                self.running.discard(request_id)
                self.apply(policy.finish(request_id, self.random.choice(ENDS), now))
            case "cancel" if self.arrived:
                request_id = self.pick(self.arrived)
                for names in (self.running, self.transferring, self.arrived):
                    names.discard(request_id)
                self.apply(policy.cancel(request_id, now))
            case "fail" if self.transferring:
                request_id = self.pick(self.transferring)
                self.transferring.discard(request_id)
                self.apply(policy.transfer_failed(request_id, now))
            case "offer":
                if policy.offer(request, now + 0.05, now):
                    self.granted[request.request_id] = now + 0.05
                self.apply(())
            case "await":
                policy.queue_offer(request, now + 0.03, now)
            case "use" if self.granted:
                request_id = self.pick(self.granted)
                deadline = self.granted.pop(request_id)
                if policy.use_grant(request_id, now):
                    assert now < deadline
                    self.arrived.add(request_id)
                    self.running.add(request_id)
                self.apply(())
            case "tick":
                self.apply(policy.tick(now))
            case "report":
                peer = self.random.randint(2, 5)
                free = self.random.randint(0, 1)
                self.apply(policy.receive(load_report(peer, free), now))


@given(
    st.sampled_from((1, 3)),
    st.integers(0, 2**32),
    st.lists(st.sampled_from(STEPS), max_size=120),
)
def test_any_order_of_events_keeps_the_invariants(slots, seed, steps):
    """Slot and queue limits hold, and each request is decided at most once."""
    driver = Driver(slots, Random(seed))
    for number, kind in enumerate(steps):
        driver.step(kind, number)


@mark.parametrize("deployment", [TIMETABLE, ARTWORK], ids=lambda d: d.name)
@mark.parametrize("load", [0.5, 1.0, 3.0])
def test_every_request_ends_once(deployment, load):
    """Each request has one outcome and runs at most once, within the slots."""
    model = LoadModel(deployment, deadline_policy, 5)
    model.offer_load(lambda now: load, 3.0, long_share=0.01)
    for step in range(40):
        model.run(step * 0.1)
        for policy in model.policies.values():
            assert policy.slots.held <= deployment.slots
    model.run(200.0)
    for record in model.records.values():
        assert record.outcome is not None
        assert record.runs <= 1
        assert record.is_refused == (record.runs == 0)


@mark.parametrize("dead", [1, 2])
def test_crashed_peers_leave_no_pending_request(dead):
    """Agents that crash with open offers and grants don't block the others."""
    model = LoadModel(Deployment(name="s", targets=5, slots=1), deadline_policy, 9)
    model.offer_load(lambda now: 0.9, 4.0)
    for number in range(1, dead + 1):
        model.at(1.0 + number / 10, lambda number=number: model.kill(number))
    model.run(60.0)
    for number in set(model.policies) - model.dead:
        policy = model.policies[number]
        assert policy.slots.held == 0
        assert not any(policy.queues.values())
