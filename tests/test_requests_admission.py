"""Tests of the admission policy of one agent."""

from dataclasses import replace
from random import Random

from pytest import mark

from balsamtide.admission import (
    AdmissionIdentity,
    DeadlineAdmission,
    Refuse,
    Start,
    Transfer,
)
from balsamtide.admission.transfers import (
    CLEANUP_THRESHOLD,
    MAX_TRANSFER_ATTEMPTS,
    Transfers,
)
from balsamtide.protocol.messages import LoadReport
from balsamtide.requests.exits import Exit
from balsamtide.telemetry.memory_sink import MemorySink
from tests.fakes_requests import make_request, make_service

RAN = Exit.ANSWERED.outcome(status=200, service_time_s=0.02)


def make_admission(service=None, target=1):
    """Return the admission policy of the agent of ``target``."""
    return DeadlineAdmission(
        AdmissionIdentity(
            instance=f"i{target}", incarnation=1, target=target, tenure=target
        ),
        service or make_service(),
        now=0.0,
        random=Random(1),
        sink=MemorySink(),
    )


def load_report(target, free=1, wait_us=0, state="ready"):
    """Return a peer's load report."""
    return LoadReport(
        sender="i",
        incarnation=1,
        service=1,
        target=target,
        free_slots=free,
        short_wait_us=wait_us,
        long_wait_us=wait_us,
        state=state,
        tenure=target,
    )


def test_free_slot_starts_at_once():
    """A request starts when the slot is free, and the next one waits."""
    policy = make_admission()
    assert policy.arrive(make_request("a"), 0.0) == [Start("a")]
    assert policy.arrive(make_request("b"), 0.0) == ()
    assert policy.finish("a", RAN, 0.02) == [Start("b", "short")]


def test_earliest_deadline_starts_first():
    """Queued requests start in order of deadline."""
    policy = make_admission()
    policy.arrive(make_request("a"), 0.0)
    policy.arrive(make_request("late", deadline=0.9, caller="x"), 0.0)
    policy.arrive(make_request("soon", deadline=0.5, caller="y"), 0.0)
    assert policy.finish("a", RAN, 0.02)[0].request_id == "soon"


def test_queue_is_fair_between_callers():
    """A burst of one caller doesn't delay a single request of another."""
    policy = make_admission()
    policy.arrive(make_request("a"), 0.0)
    for n in range(5):
        policy.arrive(make_request(f"burst{n}", caller="x", deadline=0.9), 0.0)
    policy.arrive(make_request("single", caller="y", deadline=1.0), 0.0)
    started = []
    last = "a"
    for _ in range(3):
        last = policy.finish(last, RAN, 0.02)[0].request_id
        started.append(last)
    assert started == ["burst0", "single", "burst1"]


@mark.parametrize(
    ("deadline", "queued", "expected"),
    [(0.03, 0, Exit.DEADLINE), (9.0, 12, Exit.OVERLOAD)],
)
def test_late_or_excess_request_is_refused_on_arrival(deadline, queued, expected):
    """A request is refused on arrival if it can't finish in time or on overload."""
    policy = make_admission()
    policy.arrive(make_request("a"), 0.0)
    for n in range(queued):
        policy.arrive(make_request(f"q{n}"), 0.0)
    (refused,) = policy.arrive(make_request("b", deadline=deadline), 0.0)
    assert isinstance(refused, Refuse)
    assert refused.refusal.reason == expected.reason
    assert refused.refusal.retry_after_s > 0


def test_busy_agent_offers_to_free_peers():
    """A request that would wait is offered to peers with a short queue."""
    policy = make_admission()
    policy.receive(load_report(2), 0.0)
    policy.receive(load_report(3, free=0, wait_us=100_000), 0.0)
    policy.arrive(make_request("a"), 0.0)
    assert policy.arrive(make_request("b"), 0.0) == [Transfer("b", (2,))]
    assert policy.transfer_failed("b", 0.001) == ()
    assert policy.finish("a", RAN, 0.02) == [Start("b", "short")]


def test_queued_request_is_offered_when_a_peer_becomes_free():
    """A load report with a free slot moves a queued request to that peer."""
    policy = make_admission()
    policy.arrive(make_request("a"), 0.0)
    policy.arrive(make_request("b"), 0.0)
    assert policy.receive(load_report(2), 0.001) == [Transfer("b", (2,))]


def test_leaving_agent_offers_a_request_that_would_wait_a_short_time():
    """Nothing starts at a leaving target, so even a short queue moves to a peer."""
    policy = make_admission()
    policy.arrive(make_request("a"), 0.0)
    policy.finish("a", Exit.ANSWERED.outcome(status=200, service_time_s=0.004), 0.004)
    policy.set_leaving(is_leaving=True)
    policy.receive(load_report(2), 0.01)
    (transfer,) = policy.arrive(make_request("b"), 0.02)
    assert isinstance(transfer, Transfer)
    policy.transfer_failed("b", 0.03)
    later = [policy.tick(0.03 + 0.01 * step) for step in range(30)]
    assert [type(decision) for tick in later for decision in tick] == [Transfer]


def test_long_work_starts_only_within_its_quota():
    """Long work starts only on targets with a quota and is offered elsewhere."""
    service = make_service()
    quotas = make_admission(service).quotas
    assert sum(quotas.values()) == 3  # half of the slots, rounded down
    for target, quota in quotas.items():
        policy = make_admission(service, target)
        policy.receive(
            load_report(next(t for t in quotas if t != target and quotas[t])), 0
        )
        decisions = policy.arrive(make_request("a", route="/exports", deadline=60), 0)
        assert isinstance(decisions[0], Start if quota else Transfer)


@mark.parametrize(("slots", "max_quota"), [(2, 1), (3, 2)])
def test_long_quota_leaves_one_slot_to_short_work(slots, max_quota):
    """The quota of a target with several slots is below their number."""
    quotas = make_admission(make_service(4, slots)).quotas
    assert max(quotas.values()) <= max_quota


def test_grant_is_usable_once_until_its_deadline():
    """A grant can be used once, and no longer at its deadline."""
    policy = make_admission()
    request = make_request("a")
    assert policy.offer(request, 0.05, 0.0)
    assert not policy.offer(make_request("b"), 0.05, 0.0)
    assert policy.arrive(make_request("c"), 0.0) == ()
    assert policy.use_grant("a", 0.04)
    assert not policy.use_grant("a", 0.04)
    other = make_admission()
    assert other.offer(request, 0.05, 0.0)
    assert other.deadline == 0.05
    assert not other.use_grant("a", 0.05)
    other.tick(0.05)
    assert other.slots.held == 0


def test_failing_target_is_ejected_within_eject_percent():
    """Errors eject the target, unless too many targets are ejected already."""
    error = Exit.ANSWERED.outcome(status=500, service_time_s=0.001)
    for ejected_peers, expected in ((0, True), (2, False)):
        policy = make_admission()
        for peer in range(2, 2 + ejected_peers):
            policy.receive(load_report(peer, 0, state="ejected"), 0.0)
        for n in range(6):
            policy.arrive(make_request(f"{n}"), 0.0)
            policy.finish(f"{n}", error, 0.0)
        assert policy.health.is_ejected is expected
        if expected:
            (refused,) = policy.arrive(make_request("x", deadline=3.0), 0.1)
            assert refused.refusal.reason == Exit.TARGET_EJECTED.reason
            policy.receive(load_report(6), 0.1)
            (moved,) = policy.arrive(make_request("y", deadline=3.0), 0.1)
            assert isinstance(moved, Transfer)
            policy.cancel("y", 0.1)
            assert policy.arrive(make_request("trial"), 2.0) == [Start("trial")]
            policy.finish("trial", RAN, 2.1)
            assert not policy.health.is_ejected


def test_shedding_target_is_paused():
    """A target that sheds at a window of one gets no requests during the pause."""
    policy = make_admission()
    policy.arrive(make_request("a"), 0.0)
    policy.arrive(make_request("b"), 0.0)
    assert policy.finish("a", Exit.TARGET_SHED.outcome(), 0.01) == []
    assert policy.tick(policy.limit.paused_until) == [Start("b", "short")]


def test_window_grows_and_shrinks():
    """A cold window grows with responses and shrinks with shed requests."""
    policy = make_admission(make_service(3, 3))
    assert policy.limit.allowed(0.0) == 1
    for n in range(3):
        policy.arrive(make_request(f"{n}"), 0.0)
        policy.finish(f"{n}", RAN, 0.02)
    assert policy.limit.allowed(0.1) == 3
    policy.arrive(make_request("s"), 0.1)
    policy.finish("s", Exit.TARGET_SHED.outcome(), 0.1)
    assert policy.limit.allowed(0.1) == 2


def test_size_class_is_learned():
    """A route with much longer service times than another becomes long."""
    policy = make_admission()
    for n in range(8):
        for route, seconds in (("/", 0.02), ("/learned", 2.0)):
            policy.arrive(make_request(f"{route}{n}", route=route), 0.0)
            outcome = replace(RAN, service_time_s=seconds)
            policy.finish(f"{route}{n}", outcome, 0.0)
    assert policy.size_classes.size("/learned").value == "long"
    assert policy.size_classes.size("/").value == "short"


def test_load_reports_stay_within_byte_budget():
    """Constantly changing load reports stay within the byte budget."""
    policy = make_admission()
    sent = 0
    for step in range(1000):
        now = step / 100
        policy.arrive(make_request("a"), now)
        sent += len(policy.due_reports(now))
        policy.finish("a", RAN, now)
        sent += len(policy.due_reports(now))
    # 110 bytes per report; 4000 bytes/s for 10 s after a burst of 4000 bytes.
    assert 0 < sent * 110 <= 4000 * 11


def test_unfinished_transfers_are_dropped():
    """Transfers without an outcome are dropped after their deadline."""
    transfers = Transfers()
    for n in range(CLEANUP_THRESHOLD + 1):
        transfers.begin(make_request(f"{n}", deadline=1.0), (2,))
    transfers.expire(0.5)
    assert len(transfers.offered) == CLEANUP_THRESHOLD + 1
    transfers.expire(1.0)
    assert not transfers.offered


def test_offers_of_one_request_back_off():
    """A denied request is offered at growing intervals, up to the maximum."""
    transfers = Transfers()
    now, waits = 0.0, []
    while True:
        transfers.begin(make_request("a"), (2,))
        transfers.fail("a", now)
        due = transfers.attempts["a"].next_at
        if not transfers.may_offer("a", due):
            break
        waits.append(round(due - now, 6))
        now = due
    assert waits == sorted(waits) and len(waits) == MAX_TRANSFER_ATTEMPTS - 1
