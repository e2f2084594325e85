"""Deadline-aware admission policy with peer load balancing."""

from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random

from balsamtide.admission.deadline_queue import DeadlineQueue, QueueEntry
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
from balsamtide.admission.peer_loads import MAX_PEER_WAIT_S, PeerLoads
from balsamtide.admission.policy import (
    AdmissionPolicy,
    Decision,
    Refuse,
    Start,
    Transfer,
)
from balsamtide.admission.report_schedule import ReportSchedule
from balsamtide.admission.size_classes import SizeClasses
from balsamtide.admission.slot_table import HeldSlot, SlotTable
from balsamtide.admission.transfers import TRANSFER_RETRY_S, Transfers
from balsamtide.admission.usage import SlotUsage
from balsamtide.config.model import Service, SizeClass, Target
from balsamtide.protocol.actions import Send
from balsamtide.protocol.messages import Endpoint, LoadReport
from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.exits import Exit
from balsamtide.requests.hand_off import GRANT_TTL_S
from balsamtide.requests.model import Outcome, RequestFacts
from balsamtide.telemetry.records import AuditRecord
from balsamtide.telemetry.sink import Sink

__all__ = ["AdmissionIdentity", "DeadlineAdmission"]

# A longer expected wait refuses first attempts of short requests, and all requests
# while the target is ejected; up to it the wait at peers is not considered.
MAX_QUEUE_WAIT_S = 0.2
LATE_FACTOR = 3.0  # late: above this multiple of the route's 90th percentile
MIN_TRANSFER_WAIT_S = 0.01
TRANSFER_DELAY_S = 0.01  # expected delay of a transfer per queued request
BALANCE_MARGIN = 0.03  # tolerated excess over the mean slot usage
BALANCE_GAIN = 3.0  # offer probability per excess usage
MIN_RETRY_AFTER_S = 0.05
US_PER_S = 1_000_000
PERMILLE = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionIdentity:
    """Identity of an agent in its load reports.

    Parameters
    ----------
    instance : str
        Instance identifier.
    incarnation : int
        Incarnation of the agent process.
    target : int
        Number of the local target.
    tenure : int
        Number of the lifetime of the agent's ledger of keyed requests, which lasts
        until the ledger is closed or the agent ends.
    """

    instance: str
    incarnation: int
    target: int
    tenure: int


class DeadlineAdmission(AdmissionPolicy):
    """Admits by deadline, reserves slots for short work and offers work to peers.

    Parameters
    ----------
    identity : AdmissionIdentity
        Identity of the agent.
    service : Service
        Service in the configuration in force.
    now : float
        Local time, seconds.
    random : Random
        Random source for peer sampling and jitter.
    sink : Sink
        Receives events, metrics and audit records.
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
        self.service_times = ServiceTimes()
        self.size_classes = SizeClasses(service.rules.routes, self.service_times)
        self.slots = SlotTable()
        self.limit = ConcurrencyLimit(self._find_local_target(service).slots)
        self.health = TargetHealth()
        self.peers = PeerLoads(service.number, random)
        self.report_schedule = ReportSchedule(now)
        self.usage = SlotUsage(now)
        self.queues = {
            size: DeadlineQueue(service.rules.limits.queue)
            for size in (SizeClass.SHORT, SizeClass.LONG)
        }
        self.transfers = Transfers()
        self.granted: list[str] = []
        self.is_draining = False
        self.is_leaving = False
        self.next_offer_at = float("inf")
        self.configure(service, now)

    def _find_local_target(self, service: Service) -> Target:
        return next(
            t for t in service.targets.values() if t.number == self.identity.target
        )

    def configure(self, service: Service, now: float) -> None:
        """Apply the service of a new configuration version."""
        self.service = service
        self.local_target = self._find_local_target(service)
        self.limit.configure(self.local_target.slots)
        self.size_classes.configure(service.rules.routes)
        self.quotas = long_quotas(service)
        self.neighbours = neighbours(service, self.identity.target)
        self.peers.configure({t.number: t.zone for t in self.neighbours})
        for queue in self.queues.values():
            queue.capacity = service.rules.limits.queue

    def drain(self) -> None:
        """Accept no new offers of peers and advertise no free slots.

        Local requests and offers that are queued already are still started.
        """
        self.is_draining = True

    def set_leaving(self, *, is_leaving: bool) -> None:
        """Set whether the target is leaving: drained and without new starts.

        A drained target still starts its own requests, a leaving one starts none.
        False ends both, also a drain that ``drain`` began.
        """
        self.is_leaving = is_leaving
        self.is_draining = is_leaving

    # Requests

    def arrive(self, request: RequestFacts, now: float) -> Sequence[Decision]:
        """Decide about a new request of a caller."""
        size = self.size_classes.size(request.route)
        if not self.queues[size] and self._can_start(size, now):
            targets = self._choose_less_busy(size, now)
            if not targets:
                return [self._start(request, size, "", now)]
            return [self._transfer(request, size, targets)]
        targets = self._choose_peers(request, size, now)
        if targets:
            return [self._transfer(request, size, targets)]
        return self._wait_or_refuse(request, size, now)

    def finish(
        self, request_id: str, outcome: Outcome, now: float
    ) -> Sequence[Decision]:
        """Record the outcome of a request that was started here or handed off."""
        slot = self.slots.release(request_id)
        offered = self.transfers.forget(request_id)
        if slot is not None:
            self._record(slot, outcome, now)
        elif offered is not None:
            self._record_service_time(offered.request.route, outcome, now)
        return self._run_due(now)

    def cancel(self, request_id: str, now: float) -> Sequence[Decision]:
        """Remove a cancelled request, whether queued, offered or running."""
        self.slots.release(request_id)
        self.transfers.forget(request_id)
        for queue in self.queues.values():
            queue.remove(request_id)
        return self._run_due(now)

    def transfer_failed(self, request_id: str, now: float) -> Sequence[Decision]:
        """Decide again about a request that no peer granted."""
        offered = self.transfers.fail(request_id, now)
        if offered is None:
            return ()
        self.peers.record_denials(offered.targets, now)
        request = offered.request
        size = self.size_classes.size(request.route)
        if not self.queues[size] and self._can_start(size, now):
            # The time until the denials counts as queued behind short work.
            return [self._start(request, size, "short", now)]
        return self._wait_or_refuse(request, size, now)

    def offer(self, request: RequestFacts, grant_deadline: float, now: float) -> bool:
        """Answer a peer's offer; True reserves a slot until ``grant_deadline``.

        Returns False if the request could not start now, and also if it holds a slot
        already, another of its size class is queued, the target is draining, or a
        deadline has passed.
        """
        self.slots.expire(now)
        size = self.size_classes.size(request.route)
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
        """Queue a peer's offer until ``wait_deadline``; return whether it was queued.

        Offers and local requests share one queue order.  Once a slot is reserved for
        the offer, ``pop_granted`` returns its request.
        """
        size = self.size_classes.size(request.route)
        queue = self.queues[size]
        if self.is_draining or queue.is_full or request.request_id in queue:
            return False
        if size is SizeClass.LONG and not self._long_quota(now):
            return False
        if not self.health.accepts_work(now, 0):
            return False
        # Not counted in the expected waits: a peer offers a request to several agents
        # at once, so it may start elsewhere.
        entry = queue.new_entry(request, 0.0)
        entry.expires_at = min(wait_deadline, request.deadline)
        queue.add(entry)
        return True

    def pop_granted(self) -> Sequence[str]:
        """Return and clear the queued offers that were granted since the last call."""
        granted, self.granted = self.granted, []
        return granted

    def use_grant(self, request_id: str, now: float) -> bool:
        """Turn a reservation into a running request; return False if it expired."""
        slot = self.slots.reserved.get(request_id)
        if slot is None or now >= slot.expires_at:
            return False
        del self.slots.reserved[request_id]
        self.slots.running[request_id] = replace(
            slot, since=now, expires_at=float("inf")
        )
        self.sink.count(ADMITTED, size=slot.size.value)
        return True

    def tick(self, now: float) -> Sequence[Decision]:
        """Process expirations and the queues at ``now``."""
        return self._run_due(now)

    @property
    def deadline(self) -> float:
        """Time at which ``tick`` is due, seconds."""
        queue_expiries = [queue.next_expiry for queue in self.queues.values()]
        wake_times = [self.slots.next_expiry]
        if any(self.queues.values()):
            # 0.0: never paused.  A pause that has ended makes ``tick`` due at once.
            wake_times += [self.next_offer_at, self.limit.paused_until or float("inf")]
            if self.health.is_ejected:
                wake_times.append(self.health.eject_until)
        return min(queue_expiries + wake_times)

    # Load reports

    def receive(self, report: LoadReport, now: float) -> Sequence[Decision]:
        """Apply a peer's load report; offer queued requests if it has a free slot."""
        if not self.peers.receive(report, now):
            return ()
        return self._transfer_queued(now)

    def load_report(self, now: float) -> LoadReport:
        """Return the current load report of this agent."""
        free = max(0, self.limit.allowed(now) - self.slots.held)
        if any(len(queue) for queue in self.queues.values()) or self.is_draining:
            free = 0
        return LoadReport(
            sender=self.identity.instance,
            incarnation=self.identity.incarnation,
            service=self.service.number,
            target=self.identity.target,
            free_slots=free,
            short_wait_us=round(self._local_wait_s(SizeClass.SHORT, now) * US_PER_S),
            long_wait_us=round(self._local_wait_s(SizeClass.LONG, now) * US_PER_S),
            state=self._reported_state(now),
            tenure=self.identity.tenure,
            busy_permille=round(self.usage.share * PERMILLE),
        )

    def due_reports(self, now: float) -> Sequence[Send]:
        """Return the load reports that are due; call this after every other method."""
        self.usage.update(self.slots.held / self.local_target.slots, now)
        if not self.report_schedule.has_budget(len(self.neighbours), now):
            return ()
        report = self.load_report(now)
        if not self.report_schedule.take_if_due(report, len(self.neighbours), now):
            return ()
        return [
            Send(Endpoint(peer.agent_host, peer.agent_port), report)
            for peer in self.neighbours
        ]

    # Internals

    def _can_start(self, size: SizeClass, now: float) -> bool:
        if self.is_leaving or self.slots.held >= self.limit.allowed(now):
            return False
        if not self.health.accepts_work(now, self.slots.held):
            return False
        if size is SizeClass.SHORT:
            return True
        return self.slots.held_by_long < self._long_quota(now)

    def _long_quota(self, now: float) -> int:
        """Return the local quota; at least 1 if no peer with a quota has reported.

        Otherwise long work would start nowhere.
        """
        quota = self.quotas.get(self.identity.target, 0)
        if quota or self.peers.shortest_wait(SizeClass.LONG, now, self.quotas) is None:
            return max(1, quota)
        return 0

    def _start(
        self, request: RequestFacts, size: SizeClass, queued_behind: str, now: float
    ) -> Start:
        self.transfers.forget(request.request_id)
        self.slots.running[request.request_id] = HeldSlot(
            route=request.route,
            size=size,
            since=now,
            service_time_s=self.service_times.mean(request.route),
        )
        self.sink.count(ADMITTED, size=size.value)
        return Start(request.request_id, queued_behind)

    def _reserve(
        self, request: RequestFacts, size: SizeClass, expires_at: float, now: float
    ) -> None:
        self.slots.reserved[request.request_id] = HeldSlot(
            route=request.route,
            size=size,
            since=now,
            service_time_s=self.service_times.mean(request.route),
            expires_at=expires_at,
        )

    def _grant(self, entry: QueueEntry, size: SizeClass, now: float) -> None:
        expires_at = min(now + GRANT_TTL_S, entry.request.deadline)
        self._reserve(entry.request, size, expires_at, now)
        self.granted.append(entry.request.request_id)

    def _choose_peers(
        self, request: RequestFacts, size: SizeClass, now: float
    ) -> tuple[int, ...]:
        # Nothing starts at a leaving target, however short its queue is.
        wait = float("inf") if self.is_leaving else self._local_wait_s(size, now)
        if size is SizeClass.SHORT and wait < MIN_TRANSFER_WAIT_S:
            return ()
        quotas = self.quotas if size is SizeClass.LONG else None
        return self.peers.choose(size, now, local_wait_s=wait, quotas=quotas)

    def _choose_less_busy(self, size: SizeClass, now: float) -> tuple[int, ...]:
        """Choose peers for a request that could start here, to balance slot usage."""
        mean = self.peers.mean_busy_share(now)
        if size is SizeClass.LONG or mean is None:
            return ()
        self.usage.update(self.slots.held / self.local_target.slots, now)
        excess = self.usage.share - mean
        if excess < BALANCE_MARGIN or self.random.random() > BALANCE_GAIN * excess:
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
        service_time = self.service_times.mean(request.route)
        entry = queue.new_entry(request, service_time)
        wait = self._local_or_peer_wait_s(entry, size, now)
        refusal_exit = self._find_refusal_exit(entry, wait, size, now)
        if refusal_exit:
            return [self._refuse(request, refusal_exit, wait)]
        entry.queued_behind = self._queued_behind(now)
        queue.add(entry)
        self.sink.gauge(QUEUE_LENGTH, len(queue), size=size.value)
        if self.peers.loads:
            self.next_offer_at = min(self.next_offer_at, now + TRANSFER_RETRY_S)
        return ()

    def _find_refusal_exit(
        self, entry: QueueEntry, wait: float, size: SizeClass, now: float
    ) -> Exit | None:
        if now + wait + entry.service_time_s > entry.request.deadline:
            return Exit.DEADLINE
        if self.queues[size].is_full:
            return Exit.QUEUE_FULL
        if self.health.is_ejected and wait > MAX_QUEUE_WAIT_S:
            return Exit.TARGET_EJECTED
        if size is SizeClass.SHORT and entry.priority and wait > MAX_QUEUE_WAIT_S:
            return Exit.OVERLOAD
        return None

    def _refuse(self, request: RequestFacts, cause: Exit, wait: float) -> Refuse:
        self.transfers.forget(request.request_id)
        self.sink.count(REFUSED, reason=cause.reason)
        retry_after = max(MIN_RETRY_AFTER_S, wait) * self.random.uniform(1, 2)
        return Refuse(request.request_id, cause.refusal(retry_after))

    def _local_or_peer_wait_s(
        self, entry: QueueEntry, size: SizeClass, now: float
    ) -> float:
        """Return the smaller of the expected waits for a local slot and for a grant.

        A grant by a peer is considered only for short work that would wait longer
        than ``MAX_QUEUE_WAIT_S`` here.
        """
        local_wait = self._local_wait_s(size, now, entry)
        if size is SizeClass.LONG or local_wait <= MAX_QUEUE_WAIT_S:
            return local_wait
        peer = self.peers.shortest_wait(size, now)
        if peer is None or peer > MAX_PEER_WAIT_S:
            return local_wait
        return min(local_wait, peer + (len(self.queues[size]) + 1) * TRANSFER_DELAY_S)

    def _local_wait_s(
        self, size: SizeClass, now: float, entry: QueueEntry | None = None
    ) -> float:
        """Return the expected wait for a local slot, behind all queued if no entry."""
        queue = self.queues[size]
        queued = queue.work_ahead_of(entry) if entry else queue.work_s
        if not queued and self._can_start(size, now):
            return 0.0
        return self._remaining_pause_s(now) + self._slot_wait_s(size, queued, now)

    def _remaining_pause_s(self, now: float) -> float:
        """Return how long the target stays paused or ejected, seconds."""
        until = self.limit.paused_until
        if self.health.is_ejected:
            until = max(until, self.health.eject_until)
        return max(0.0, until - now)

    def _slot_wait_s(self, size: SizeClass, queued: float, now: float) -> float:
        if size is SizeClass.LONG:
            return self._long_slot_wait_s(queued, now)
        return self._short_slot_wait_s(queued, now)

    def _short_slot_wait_s(self, queued: float, now: float) -> float:
        held = sum(self.slots.remaining_work(SizeClass.SHORT, now))
        left = self.limit.allowed(now) - self.slots.held_by_long
        if left > 0:
            return (held + queued) / left
        long_work = self.slots.remaining_work(SizeClass.LONG, now)
        return min(long_work, default=0.0) + queued

    def _long_slot_wait_s(self, queued: float, now: float) -> float:
        quota = self._long_quota(now)
        if quota:
            held = sum(self.slots.remaining_work(SizeClass.LONG, now))
            return (held + queued) / quota
        shortest = self.peers.shortest_wait(SizeClass.LONG, now, self.quotas) or 0.0
        total = max(1, sum(self.quotas.values()))
        # Assume that the queued work runs on one peer with the mean quota.
        return shortest + queued * len(self.quotas) / total

    def _queued_behind(self, now: float) -> str:
        """Return what a request waits for now, whatever its own size class.

        ``"long"`` and ``"short"`` name the work that holds the slots.
        """
        if self.limit.allowed(now) < self.local_target.slots:
            return "cold" if self.limit.is_cold else "limit"
        return "long" if self.slots.held_by_long else "short"

    def _run_due(self, now: float) -> list[Decision]:
        self.slots.expire(now)
        self.transfers.expire(now)
        decisions: list[Decision] = []
        for queue in self.queues.values():
            for entry in queue.pop_expired(now):
                if entry.is_offer:
                    continue
                decisions.append(self._refuse(entry.request, Exit.DEADLINE, 0.0))
        for size, queue in self.queues.items():
            while queue and self._can_start(size, now):
                entry = queue.pop()
                if entry.is_offer:
                    self._grant(entry, size, now)
                    continue
                decisions.append(
                    self._start(entry.request, size, entry.queued_behind, now)
                )
        decisions += self._transfer_queued(now)
        return decisions

    def _transfer_queued(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        for size, queue in self.queues.items():
            for entry in queue.local_entries():
                if not self.transfers.may_offer(entry.request.request_id, now):
                    continue
                targets = self._choose_peers(entry.request, size, now)
                if not targets:
                    break
                queue.remove(entry.request.request_id)
                decisions.append(self._transfer(entry.request, size, targets))
        waiting = any(self.queues.values()) and self.peers.loads
        self.next_offer_at = now + TRANSFER_RETRY_S if waiting else float("inf")
        return decisions

    def _record(self, slot: HeldSlot, outcome: Outcome, now: float) -> None:
        if outcome.reason == Exit.TARGET_SHED.reason:
            if self.limit.on_shed(now):
                self._record_shrink("target shed a request")
        elif outcome.verdict is Verdict.RAN:
            self._record_latency(slot, outcome, now)
        was_ejected = self.health.is_ejected
        if self.health.record(outcome, now):
            self._eject_if_allowed(now)
        elif was_ejected and not self.health.is_ejected:
            self.sink.event(TARGET_READMITTED, target=self.identity.target)
            self._audit("ejection", "readmitted", "target answered a trial request")
        self._record_service_time(slot.route, outcome, now)

    def _record_latency(self, slot: HeldSlot, outcome: Outcome, now: float) -> None:
        usual = self.service_times.summary(slot.route)
        service_time = outcome.service_time_s
        if (
            usual.count
            and service_time is not None
            and service_time > LATE_FACTOR * usual.tail_s
        ):
            if self.limit.on_late_response(now):
                self._record_shrink("target answered late")
            return
        self.limit.on_response(now)

    def _record_service_time(self, route: str, outcome: Outcome, now: float) -> None:
        if outcome.verdict is not Verdict.RAN or outcome.service_time_s is None:
            return
        if outcome.status >= 500:
            return
        self.service_times.record(route, outcome.service_time_s, now)
        self.size_classes.reclassify(route)

    def _eject_if_allowed(self, now: float) -> None:
        """Eject the target if ``eject_percent`` allows it, or extend its ejection."""
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

    def _record_shrink(self, cause: str) -> None:
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
                version=0,  # not tied to a configuration version
                cause=cause,
                actor=self.identity.instance,
            )
        )

    def _reported_state(self, now: float) -> str:
        if self.is_draining:
            return "draining"
        if self.health.is_ejected:
            return "ejected"
        if self.limit.is_cold:
            return "cold"
        is_full = self.slots.held >= self.limit.allowed(now)
        return "full" if is_full else "ready"
