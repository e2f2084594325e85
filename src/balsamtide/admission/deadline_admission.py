"""The product's admission policy."""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random

from balsamtide.admission.deadline_queue import DeadlineQueue, Waiting
from balsamtide.admission.estimates import ServiceTimes
from balsamtide.admission.events import (
    LIMIT_SHRANK,
    TARGET_EJECTED,
    TARGET_READMITTED,
)
from balsamtide.admission.health import TargetHealth
from balsamtide.admission.limit import ConcurrencyLimit
from balsamtide.admission.long_quotas import long_quotas
from balsamtide.admission.metrics import ADMITTED, QUEUE_LENGTH, REFUSED, TRANSFERS
from balsamtide.admission.neighbours import neighbours
from balsamtide.admission.peer_loads import LONGEST_PEER_WAIT_S, PeerLoads
from balsamtide.admission.policy import (
    AdmissionPolicy,
    Decision,
    Refuse,
    Start,
    Transfer,
)
from balsamtide.admission.report_schedule import ReportSchedule
from balsamtide.admission.size_classes import SizeClasses
from balsamtide.admission.slot_table import Holder, SlotTable
from balsamtide.admission.transfers import TRANSFER_RETRY_S, Transfers
from balsamtide.admission.usage import SlotUsage
from balsamtide.config.model import Service, SizeClass, Target
from balsamtide.protocol.actions import Send
from balsamtide.protocol.messages import Endpoint, LoadReport
from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.exits import Exit
from balsamtide.requests.hand_off import GRANT_S
from balsamtide.requests.model import Outcome, RequestFacts
from balsamtide.telemetry.records import AuditRecord
from balsamtide.telemetry.sink import Sink

__all__ = ["AdmissionIdentity", "DeadlineAdmission"]

QUEUE_WAIT_S = 0.2
LATE_FACTOR = 3.0
SHORTEST_TRANSFER_WAIT_S = 0.01
REMOTE_WAIT_S = 0.01
BUSY_MARGIN = 0.03
BUSY_GAIN = 3.0
SHORTEST_RETRY_AFTER_S = 0.05
US_PER_S = 1_000_000
PERMILLE = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionIdentity:
    """Who the agent is, as its load reports say.

    Parameters
    ----------
    instance : str
        Instance identifier.
    incarnation : int
        Incarnation of the process.
    target : int
        Number of its own target.
    tenure : int
        Tenure of its ledger.
    """

    instance: str
    incarnation: int
    target: int
    tenure: int


class DeadlineAdmission(AdmissionPolicy):
    """Admits by deadline, keeps slots for short work and shares work with peers.

    Parameters
    ----------
    identity : AdmissionIdentity
        Who the agent is.
    service : Service
        The service in the configuration in force.
    now : float
        Local time, seconds.
    random : Random
        Source of the sampled choices.
    sink : Sink
        Where events and counts go.
    """

    def __init__(
        self,
        identity: AdmissionIdentity,
        service: Service,
        *,
        now: float,
        random: Random,
        sink: Sink,
    ) -> None:
        self.identity = identity
        self.sink = sink
        self.random = random
        self.times = ServiceTimes()
        self.classes = SizeClasses(service.rules.routes, self.times)
        self.slots = SlotTable()
        self.limit = ConcurrencyLimit(self._own(service).slots)
        self.health = TargetHealth()
        self.peers = PeerLoads(service.number, random)
        self.schedule = ReportSchedule(now)
        self.usage = SlotUsage(now)
        self.queues = {
            size: DeadlineQueue(service.rules.limits.queue)
            for size in (SizeClass.SHORT, SizeClass.LONG)
        }
        self.transfers = Transfers()
        self.granted: list[str] = []
        self.is_draining = False
        self.is_leaving = False
        self.next_retry = float("inf")
        self.configure(service, now)

    def _own(self, service: Service) -> Target:
        return next(
            t for t in service.targets.values() if t.number == self.identity.target
        )

    def configure(self, service: Service, now: float) -> None:
        """Take the service of a new configuration version."""
        self.service = service
        self.own = self._own(service)
        self.limit.configure(self.own.slots)
        self.classes.configure(service.rules.routes)
        self.quotas = long_quotas(service)
        self.neighbours = neighbours(service, self.identity.target)
        self.peers.configure({t.number: t.zone for t in self.neighbours})
        for queue in self.queues.values():
            queue.capacity = service.rules.limits.queue

    def drain(self) -> None:
        """Grant nothing to peers any more and prefer to hand work off."""
        self.is_draining = True

    def set_leaving(self, *, is_leaving: bool) -> None:
        """Take whether the target leaves; a leaving target starts nothing new."""
        self.is_leaving = is_leaving
        self.is_draining = is_leaving

    # Decisions about requests

    def arrive(self, request: RequestFacts, now: float) -> Sequence[Decision]:
        """Take a request from a caller."""
        size = self.classes.size(request.route)
        if not self.queues[size] and self._can_start(size, now):
            targets = self._choose_less_busy(size, now)
            if not targets:
                return [self._start(request, size, "", now)]
            return [self._transfer(request, size, targets)]
        targets = self._choose(request, size, now)
        if targets:
            return [self._transfer(request, size, targets)]
        return self._wait_or_refuse(request, size, now)

    def finish(
        self, request_id: str, outcome: Outcome, now: float
    ) -> Sequence[Decision]:
        """Take the end of a request that was started here or handed off."""
        holder = self.slots.release(request_id)
        offered = self.transfers.forget(request_id)
        if holder is not None:
            self._record(holder, outcome, now)
        elif offered is not None:
            self._record_time(offered.request.route, outcome, now)
        return self._advance(now)

    def cancel(self, request_id: str, now: float) -> Sequence[Decision]:
        """Forget a request that its caller gave up, wherever it stands."""
        self.slots.release(request_id)
        self.transfers.forget(request_id)
        for queue in self.queues.values():
            queue.remove(request_id)
        return self._advance(now)

    def transfer_failed(self, request_id: str, now: float) -> Sequence[Decision]:
        """Take back a request that no peer granted."""
        offered = self.transfers.fail(request_id, now)
        if offered is None:
            return ()
        self.peers.deny(offered.targets, now)
        request = offered.request
        size = self.classes.size(request.route)
        if not self.queues[size] and self._can_start(size, now):
            return [self._start(request, size, "short", now)]
        return self._wait_or_refuse(request, size, now)

    def offer(self, request: RequestFacts, grant_deadline: float, now: float) -> bool:
        """Reserve a slot for a peer's request until ``grant_deadline``, if free."""
        self.slots.void(now)
        size = self.classes.size(request.route)
        is_known = request.request_id in self.slots.reserved
        if is_known or request.request_id in self.slots.running:
            return False
        if self.is_draining or now >= min(grant_deadline, request.deadline):
            return False
        if self.queues[size] or not self._can_start(size, now):
            return False
        self._reserve(request, size, grant_deadline, now)
        return True

    def queue_offer(
        self, request: RequestFacts, wait_deadline: float, now: float
    ) -> bool:
        """Queue a peer's offer that got no slot until ``wait_deadline``.

        It waits in the same order as the agent's own requests.  A slot that becomes
        free for it is reserved, and ``pop_granted`` returns the request.
        """
        size = self.classes.size(request.route)
        queue = self.queues[size]
        if self.is_draining or queue.is_full or request.request_id in queue:
            return False
        if size is SizeClass.LONG and not self._long_quota(now):
            return False
        if not self.health.takes_work(now, 0):
            return False
        entry = queue.place(request, 0.0)
        entry.expires_at = min(wait_deadline, request.deadline)
        queue.add(entry)
        return True

    def pop_granted(self) -> Sequence[str]:
        """Return the peers' requests that got a slot since the last call."""
        granted, self.granted = self.granted, []
        return granted

    def use_grant(self, request_id: str, now: float) -> bool:
        """Turn a reservation into a start; False if it has expired."""
        holder = self.slots.reserved.get(request_id)
        if holder is None or now >= holder.void_at:
            return False
        del self.slots.reserved[request_id]
        self.slots.running[request_id] = replace(
            holder, since=now, void_at=float("inf")
        )
        self.sink.count(ADMITTED, size=holder.size.value)
        return True

    def tick(self, now: float) -> Sequence[Decision]:
        """Do what is due at ``now``."""
        return self._advance(now)

    @property
    def deadline(self) -> float:
        """Time at which ``tick`` is next due."""
        starts = [queue.latest_start for queue in self.queues.values()]
        gates = [self.slots.next_void]
        if any(self.queues.values()):
            gates += [self.next_retry, self.limit.paused_until or float("inf")]
            if self.health.is_ejected:
                gates.append(self.health.eject_until)
        return min(starts + gates)

    # Load exchanged with peers

    def receive(self, report: LoadReport, now: float) -> Sequence[Decision]:
        """Take a peer's load report; queued work may move to a free peer."""
        if not self.peers.receive(report, now):
            return ()
        return self._hand_off_queued(now)

    def load_report(self, now: float) -> LoadReport:
        """Return what this agent can take on now."""
        free = max(0, self.limit.allowed(now) - self.slots.held)
        if any(len(queue) for queue in self.queues.values()) or self.is_draining:
            free = 0
        return LoadReport(
            sender=self.identity.instance,
            incarnation=self.identity.incarnation,
            service=self.service.number,
            target=self.identity.target,
            free_slots=free,
            short_wait_us=round(self._wait_s(SizeClass.SHORT, now) * US_PER_S),
            long_wait_us=round(self._wait_s(SizeClass.LONG, now) * US_PER_S),
            state=self._state(now),
            tenure=self.identity.tenure,
            busy_permille=round(self.usage.share * PERMILLE),
        )

    def due_reports(self, now: float) -> Sequence[Send]:
        """Return the load reports that are due; call it after every other call."""
        self.usage.update(self.slots.held / self.own.slots, now)
        if not self.schedule.can_send(len(self.neighbours), now):
            return ()
        report = self.load_report(now)
        if not self.schedule.is_due(report, len(self.neighbours), now):
            return ()
        return [
            Send(Endpoint(peer.agent_host, peer.agent_port), report)
            for peer in self.neighbours
        ]

    # Inner workings

    def _can_start(self, size: SizeClass, now: float) -> bool:
        if self.is_leaving or self.slots.held >= self.limit.allowed(now):
            return False
        if not self.health.takes_work(now, self.slots.held):
            return False
        if size is SizeClass.SHORT:
            return True
        return self.slots.held_by_long < self._long_quota(now)

    def _long_quota(self, now: float) -> int:
        quota = self.quotas.get(self.identity.target, 0)
        if quota or self.peers.shortest_wait(SizeClass.LONG, now, self.quotas) is None:
            return max(1, quota)
        return 0

    def _start(
        self, request: RequestFacts, size: SizeClass, cause: str, now: float
    ) -> Start:
        self.transfers.forget(request.request_id)
        self.slots.running[request.request_id] = Holder(
            route=request.route,
            size=size,
            since=now,
            service_time_s=self.times.mean(request.route),
        )
        self.sink.count(ADMITTED, size=size.value)
        return Start(request.request_id, cause)

    def _reserve(
        self, request: RequestFacts, size: SizeClass, void_at: float, now: float
    ) -> None:
        self.slots.reserved[request.request_id] = Holder(
            route=request.route,
            size=size,
            since=now,
            service_time_s=self.times.mean(request.route),
            void_at=void_at,
        )

    def _grant(self, entry: Waiting, size: SizeClass, now: float) -> None:
        void_at = min(now + GRANT_S, entry.request.deadline)
        self._reserve(entry.request, size, void_at, now)
        self.granted.append(entry.request.request_id)

    def _choose(
        self, request: RequestFacts, size: SizeClass, now: float
    ) -> tuple[int, ...]:
        wait = self._wait_s(size, now)
        if size is SizeClass.SHORT and wait < SHORTEST_TRANSFER_WAIT_S:
            return ()
        allowed = self.quotas if size is SizeClass.LONG else None
        return self.peers.choose(size, now, own_wait_s=wait, allowed=allowed)

    def _choose_less_busy(self, size: SizeClass, now: float) -> tuple[int, ...]:
        """Choose peers for a request that could start here, to even slot time out."""
        mean = self.peers.mean_busy(now)
        if size is SizeClass.LONG or mean is None:
            return ()
        self.usage.update(self.slots.held / self.own.slots, now)
        excess = self.usage.share - mean
        if excess < BUSY_MARGIN or self.random.random() > BUSY_GAIN * excess:
            return ()
        return self.peers.choose_less_busy(mean, now)

    def _transfer(
        self, request: RequestFacts, size: SizeClass, targets: tuple[int, ...]
    ) -> Transfer:
        self.transfers.begin(request, targets)
        self.sink.count(TRANSFERS, size=size.value)
        return Transfer(request.request_id, targets)

    def _wait_or_refuse(
        self, request: RequestFacts, size: SizeClass, now: float
    ) -> Sequence[Decision]:
        queue = self.queues[size]
        service_time = self.times.mean(request.route)
        entry = queue.place(request, service_time)
        wait = self._admission_wait_s(entry, size, now)
        objection = self._objection(entry, wait, size, now)
        if objection:
            return [self._refuse(request, objection, wait)]
        entry.cause = self._cause(now)
        queue.add(entry)
        self.sink.gauge(QUEUE_LENGTH, len(queue), size=size.value)
        if self.peers.loads:
            self.next_retry = min(self.next_retry, now + TRANSFER_RETRY_S)
        return ()

    def _objection(
        self, entry: Waiting, wait: float, size: SizeClass, now: float
    ) -> Exit | None:
        if now + wait + entry.service_time_s > entry.request.deadline:
            return Exit.DEADLINE
        if self.queues[size].is_full:
            return Exit.QUEUE_FULL
        if self.health.is_ejected and wait > QUEUE_WAIT_S:
            return Exit.TARGET_EJECTED
        if size is SizeClass.SHORT and entry.rank and wait > QUEUE_WAIT_S:
            return Exit.OVERLOAD
        return None

    def _refuse(self, request: RequestFacts, cause: Exit, wait: float) -> Refuse:
        self.transfers.forget(request.request_id)
        self.sink.count(REFUSED, reason=cause.reason)
        retry_after = max(SHORTEST_RETRY_AFTER_S, wait) * self.random.uniform(1, 2)
        return Refuse(request.request_id, cause.refusal(retry_after))

    def _admission_wait_s(self, entry: Waiting, size: SizeClass, now: float) -> float:
        """Return the wait of a new request, here or until a peer takes it."""
        own = self._wait_s(size, now, entry)
        if size is SizeClass.LONG or own <= QUEUE_WAIT_S:
            return own
        peer = self.peers.shortest_wait(size, now)
        if peer is None or peer > LONGEST_PEER_WAIT_S:
            return own
        return min(own, peer + (len(self.queues[size]) + 1) * REMOTE_WAIT_S)

    def _wait_s(
        self, size: SizeClass, now: float, entry: Waiting | None = None
    ) -> float:
        queue = self.queues[size]
        queued = queue.work_before(entry) if entry else queue.work_s
        if not queued and self._can_start(size, now):
            return 0.0
        return self._pause_s(now) + self._slots_wait_s(size, queued, now)

    def _pause_s(self, now: float) -> float:
        """Return the time for which the own target is given no work."""
        until = self.limit.paused_until
        if self.health.is_ejected:
            until = max(until, self.health.eject_until)
        return max(0.0, until - now)

    def _slots_wait_s(self, size: SizeClass, queued: float, now: float) -> float:
        if size is SizeClass.LONG:
            return self._long_wait_s(queued, now)
        return self._short_wait_s(queued, now)

    def _short_wait_s(self, queued: float, now: float) -> float:
        held = sum(self.slots.remaining_work(SizeClass.SHORT, now))
        left = self.limit.allowed(now) - self.slots.held_by_long
        if left > 0:
            return (held + queued) / left
        long_work = self.slots.remaining_work(SizeClass.LONG, now)
        return min(long_work, default=0.0) + queued

    def _long_wait_s(self, queued: float, now: float) -> float:
        own = self._long_quota(now)
        if own:
            held = sum(self.slots.remaining_work(SizeClass.LONG, now))
            return (held + queued) / own
        shortest = self.peers.shortest_wait(SizeClass.LONG, now, self.quotas) or 0.0
        total = max(1, sum(self.quotas.values()))
        return shortest + queued * len(self.quotas) / total

    def _cause(self, now: float) -> str:
        if self.limit.allowed(now) < self.own.slots:
            return "cold" if self.limit.is_cold else "limit"
        return "long" if self.slots.held_by_long else "short"

    def _advance(self, now: float) -> list[Decision]:
        self.slots.void(now)
        self.transfers.expire(now)
        decisions: list[Decision] = []
        for queue in self.queues.values():
            for entry in queue.hopeless(now):
                if entry.is_offer:
                    continue
                decisions.append(self._refuse(entry.request, Exit.DEADLINE, 0.0))
        for size, queue in self.queues.items():
            while queue and self._can_start(size, now):
                entry = queue.take()
                if entry.is_offer:
                    self._grant(entry, size, now)
                    continue
                decisions.append(self._start(entry.request, size, entry.cause, now))
        decisions += self._hand_off_queued(now)
        return decisions

    def _hand_off_queued(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        for size, queue in self.queues.items():
            for entry in queue.own():
                if not self.transfers.may_offer(entry.request.request_id, now):
                    continue
                targets = self._choose(entry.request, size, now)
                if not targets:
                    break
                queue.remove(entry.request.request_id)
                decisions.append(self._transfer(entry.request, size, targets))
        waiting = any(self.queues.values()) and self.peers.loads
        self.next_retry = now + TRANSFER_RETRY_S if waiting else float("inf")
        return decisions

    def _record(self, holder: Holder, outcome: Outcome, now: float) -> None:
        if outcome.reason == Exit.TARGET_SHED.reason:
            if self.limit.on_shed(now):
                self._report_limit("target shed a request")
        elif outcome.verdict is Verdict.RAN:
            self._record_pace(holder, outcome, now)
        was_ejected = self.health.is_ejected
        if self.health.record(outcome, now):
            self._eject(now)
        elif was_ejected and not self.health.is_ejected:
            self.sink.event(TARGET_READMITTED, target=self.identity.target)
            self._audit("ejection", "readmitted", "target answered a trial request")
        self._record_time(holder.route, outcome, now)

    def _record_pace(self, holder: Holder, outcome: Outcome, now: float) -> None:
        usual = self.times.summary(holder.route)
        taken = outcome.service_time_s
        if usual.count and taken is not None and taken > LATE_FACTOR * usual.high_s:
            if self.limit.on_late(now):
                self._report_limit("target answered late")
            return
        self.limit.on_answer(now)

    def _record_time(self, route: str, outcome: Outcome, now: float) -> None:
        if outcome.verdict is not Verdict.RAN or outcome.service_time_s is None:
            return
        if outcome.status >= 500:
            return
        self.times.record(route, outcome.service_time_s, now)
        self.classes.learn(route)

    def _eject(self, now: float) -> None:
        ejected = self.peers.count("ejected", now) + 1
        share = self.service.rules.limits.eject_percent / 100
        is_allowed = ejected <= share * len(self.service.targets)
        if not is_allowed and not self.health.is_ejected:
            return
        was_ejected = self.health.is_ejected
        self.health.eject(now)
        if was_ejected:
            return
        wait = self.health.eject_until - now
        self.sink.event(TARGET_EJECTED, target=self.identity.target, until_s=wait)
        self._audit("ejection", "ejected", "target fails requests")

    def _report_limit(self, cause: str) -> None:
        window = int(self.limit.window)
        self.sink.event(LIMIT_SHRANK, target=self.identity.target, window=window)
        self._audit("limit", f"window {window}", cause)

    def _audit(self, kind: str, change: str, cause: str) -> None:
        subject = f"{self.service.number}/{self.identity.target}"
        self.sink.audit(
            AuditRecord(
                kind=kind,
                subject=subject,
                change=change,
                version=0,
                cause=cause,
                actor=self.identity.instance,
            )
        )

    def _state(self, now: float) -> str:
        if self.is_draining:
            return "draining"
        if self.health.is_ejected:
            return "ejected"
        if self.limit.is_cold:
            return "cold"
        is_full = self.slots.held >= self.limit.allowed(now)
        return "full" if is_full else "ready"
