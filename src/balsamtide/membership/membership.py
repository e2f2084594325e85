"""Membership of one process, run by the daemons and by programs that embed them."""

from collections.abc import Iterable, Sequence
from random import Random

from balsamtide.config.model import Target
from balsamtide.config.port import Instance, InstanceState
from balsamtide.membership.directory import Directory, agent_endpoint
from balsamtide.membership.dissemination import Dissemination, PushWithExchange
from balsamtide.membership.eligibility import Eligibility
from balsamtide.membership.epidemic import Epidemic
from balsamtide.membership.events import (
    LIST_UPDATED,
    READER_STARTED,
    READER_STOPPED,
    REFUTED,
)
from balsamtide.membership.failure_detector import FailureDetector
from balsamtide.membership.identity import Identity
from balsamtide.membership.limits import MembershipLimits
from balsamtide.membership.local_marks import LocalMarks
from balsamtide.membership.log import EntryLog
from balsamtide.membership.marks import (
    LEAVING,
    MICROSECONDS,
    PLATFORM,
    READER,
    SUSPECT,
    ZONE_PREFIX,
    MarkTable,
)
from balsamtide.membership.metrics import MESSAGES, PEERS
from balsamtide.membership.metrics import READER as READER_GAUGE
from balsamtide.membership.partial_view import PartialView
from balsamtide.membership.participant import Participant
from balsamtide.membership.pause_detector import PauseDetector
from balsamtide.membership.reader_lease import ReaderLease
from balsamtide.membership.reporter import Reporter
from balsamtide.membership.status import MembershipStatus, mark_statuses
from balsamtide.membership.view import LivenessView
from balsamtide.protocol.actions import Send
from balsamtide.protocol.messages import (
    ChainDigest,
    Endpoint,
    Heartbeat,
    HeartbeatAnswer,
    Mark,
    Message,
    Pull,
    Push,
)
from balsamtide.telemetry.sink import Sink

__all__ = ["Membership"]

DEFAULT_LIMITS = MembershipLimits()


class Membership(Participant, LivenessView):
    """Dissemination, marks, failure detection and reader leases of one process.

    Parameters
    ----------
    instance : Instance
        Entry of the local instance in the instance list.
    incarnation : int
        Random initial incarnation, below 2**32.
    log : EntryLog
        Log that holds the configuration.
    sink : Sink
        Destination of events, metrics and audit records.
    random : Random
        Random source for all choices.
    now : float
        Current time, seconds on the caller's monotonic clock.
    limits : MembershipLimits
        Bounds, periods and time-to-live values.
    dissemination : type of Dissemination
        Strategy of dissemination.
    """

    def __init__(
        self,
        instance: Instance,
        *,
        incarnation: int,
        log: EntryLog,
        sink: Sink,
        random: Random,
        now: float,
        limits: MembershipLimits = DEFAULT_LIMITS,
        dissemination: type[Dissemination] = PushWithExchange,
    ) -> None:
        self.identity = Identity(instance, incarnation)
        self.log = log
        self.sink = sink
        self.limits = limits
        self.reporter = Reporter(sink, log, instance.name)
        self.table = MarkTable(limits)
        self.partial_view = PartialView(instance, limits=limits, random=random)
        self.directory = Directory(instance, log)
        self.dissemination = dissemination(self.partial_view, limits)
        self.pause_detector = PauseDetector(self._max_tick_gap_s(), now)
        self.eligibility = Eligibility(
            self.table,
            directory=self.directory,
            limits=limits,
            reporter=self.reporter,
        )
        self.epidemic = Epidemic(
            self.identity,
            log=log,
            table=self.table,
            dissemination=self.dissemination,
            limits=limits,
            reporter=self.reporter,
            is_usable=self._is_usable,
            now=now,
        )
        self.failure_detector = FailureDetector(
            self.identity,
            limits=limits,
            table=self.table,
            partial_view=self.partial_view,
            reporter=self.reporter,
            now=now,
        )
        self.reader_lease = ReaderLease(instance, limits=limits, random=random, now=now)
        self.group_version = -1
        self.local_marks = LocalMarks(self.identity, limits, now)
        self.was_reader = False
        self.now = now

    def _max_tick_gap_s(self) -> float:
        return self.limits.heartbeat_period_s + self.limits.max_timer_delay_s

    def _is_usable(self, peer: Instance) -> bool:
        """Return whether ``peer`` is neither suspect nor in a marked zone.

        Messages go only to such peers; `is_eligible` decides about new work.
        """
        if not self.table.claims:
            return True
        if self.table.belief(peer.name, self.now) == SUSPECT:
            return False
        return self.table.belief(ZONE_PREFIX + peer.zone, self.now) is None

    # Input

    def update_instances(
        self, instances: Sequence[Instance], now: float
    ) -> Sequence[Send]:
        """Replace the instance list by the platform's, which may be outdated.

        Returns
        -------
        sequence of Send
            Marks of leaving instances, if this process is a reader; other
            processes receive them from readers, whose lists are newer.
        """
        self.now = now
        self.dissemination.update(instances)
        self.directory.update(instances)
        self.reader_lease.update(instances)
        self._update_partners(now, is_forced=True)
        leaving = [each for each in instances if each.state is InstanceState.LEAVING]
        self.reporter.event(
            LIST_UPDATED, instances=len(instances), leaving=len(leaving)
        )
        self.sink.gauge(PEERS, len(self.partial_view.by_name))
        if not self.is_reader:
            return []
        remaining_us = int(self.limits.leaving_ttl_s * MICROSECONDS)
        marks = [
            Mark(each.name, LEAVING, PLATFORM, 0, remaining_us)
            for each in leaving
            if self.table.remaining_s(each.name, LEAVING, PLATFORM, now)
            < self.limits.leaving_ttl_s / 2
        ]
        return self._count_sends(self._publish(marks, now, cause="platform list"))

    def receive(
        self, message: Message, *, source: Endpoint, now: float
    ) -> Sequence[Send]:
        """Handle one message of a peer; messages of other types are ignored."""
        self.now = now
        max_age_s = self.pause_detector.record_call(now)
        match message:
            case Push():
                self._record_sender(message, source, now)
                sends = self._receive_push(message, source, now, max_age_s)
            case ChainDigest():
                self._record_sender(message, source, now)
                sends = self.epidemic.receive_digest(message, source=source, now=now)
            case Pull():
                self._record_sender(message, source, now)
                sends = self.epidemic.receive_pull(message, source=source, now=now)
            case Heartbeat():
                self._record_sender(message, source, now)
                sends = [self._heartbeat_answer(message, source)]
            case HeartbeatAnswer():
                self._record_sender(message, source, now)
                sends = []
            case _:
                return []
        return self._count_sends(sends)

    def _record_sender(
        self,
        message: Push | ChainDigest | Pull | Heartbeat | HeartbeatAnswer,
        source: Endpoint,
        now: float,
    ) -> None:
        self.partial_view.record_sender(message.sender, source)
        self.failure_detector.renew_lease(message.sender, message.incarnation, now)

    def _heartbeat_answer(self, heartbeat: Heartbeat, source: Endpoint) -> Send:
        name, incarnation = self.identity.name, self.identity.incarnation
        return Send(source, HeartbeatAnswer(name, incarnation, heartbeat.nonce))

    def _receive_push(
        self, push: Push, source: Endpoint, now: float, max_age_s: float
    ) -> list[Send]:
        new_marks = [
            mark
            for mark in push.marks
            if mark.kind != READER
            and self.table.merge(mark, now=now, max_age_s=max_age_s)
        ]
        announcements = [
            mark
            for mark in push.marks
            if mark.kind == READER
            and self.reader_lease.receive_announcement(mark, now, max_age_s)
        ]
        sends = self.epidemic.receive_push(push, new_marks, source=source, now=now)
        sends += self._push_announcements(announcements)
        sends += self._refute(new_marks, now)
        self._record_beliefs({mark.subject for mark in new_marks}, now)
        self._update_partners(now)
        return sends

    def entries_arrived(self, now: float) -> Sequence[Send]:
        """Push the entries that a local task added to the log."""
        self.now = now
        self._update_partners(now)
        return self._count_sends(self.epidemic.entries_arrived(now))

    # Time

    @property
    def deadline(self) -> float:
        """Time at which ``tick`` is next due, seconds."""
        return min(
            self.failure_detector.deadline,
            self.epidemic.next_exchange,
            self.local_marks.deadline,
            self.table.next_expiry,
        )

    def tick(self, now: float) -> Sequence[Send]:
        """Run the work that is due at ``now`` and return the messages to send."""
        self.now = now
        self.pause_detector.record_call(now)
        self._record_beliefs(self.table.expire(now), now)
        sends = self.epidemic.tick(now)
        if now >= self.failure_detector.deadline:
            output = self.failure_detector.tick(now)
            sends += output.sends
            sends += self._publish(output.marks, now, cause="lease ran out")
            # The reader lease has no deadline of its own.
            sends += self._tick_reader(now)
        if now >= self.local_marks.deadline:
            sends += self._repeat_leaving(now)
        return self._count_sends(sends)

    def _tick_reader(self, now: float) -> list[Send]:
        announcement = self.reader_lease.tick(now)
        if self.reader_lease.is_reader != self.was_reader:
            self._report_reader_change()
        return [] if announcement is None else self._push_announcements([announcement])

    def _report_reader_change(self) -> None:
        self.was_reader = self.reader_lease.is_reader
        zone, name = self.identity.instance.zone, self.identity.name
        self.sink.gauge(READER_GAUGE, int(self.was_reader))
        if self.was_reader:
            self.reporter.event(READER_STARTED, zone=zone)
            self.reporter.audit("reader", zone, "reader started", actor=name)
        else:
            # After failed reads, too, a reader stops only if it knows another one.
            self.reporter.event(READER_STOPPED, zone=zone, cause="others read")
            self.reporter.audit("reader", zone, "reader stopped", actor=name)

    def _push_announcements(self, announcements: Sequence[Mark]) -> list[Send]:
        """Push reader announcements to random peers of the local zone."""
        if not announcements:
            return []
        name, incarnation = self.identity.name, self.identity.incarnation
        push = Push(name, incarnation, (), tuple(announcements))
        recipients = self.partial_view.pick_zone(self.limits.fan_out, self._is_usable)
        return [Send(each, push) for each in recipients]

    # Marks

    def _publish(self, marks: Sequence[Mark], now: float, *, cause: str) -> list[Send]:
        new_marks = [mark for mark in marks if self.table.merge(mark, now=now)]
        if not new_marks:
            return []
        for mark in new_marks:
            self.reporter.record_made_mark(mark, cause)
        self._record_beliefs({mark.subject for mark in new_marks}, now)
        return self.epidemic.publish(new_marks, now)

    def _refute(self, marks: Sequence[Mark], now: float) -> list[Send]:
        """Refute marks on the local instance with an ``alive`` mark."""
        alive_mark = self.local_marks.make_refutation(marks, now)
        if alive_mark is None:
            return []
        self.reporter.event(REFUTED, incarnation=self.identity.incarnation)
        new_marks = (
            [alive_mark, self.local_marks.leaving()]
            if self.is_leaving
            else [alive_mark]
        )
        return self._publish(new_marks, now, cause="marked by others")

    @property
    def is_leaving(self) -> bool:
        """Whether this process announced that it is leaving."""
        return self.local_marks.is_leaving

    def announce_leaving(self, now: float) -> Sequence[Send]:
        """Announce that this process takes no new work; ticks repeat it."""
        self.now = now
        self.local_marks.start_leaving(now)
        return self._count_sends(self._repeat_leaving(now))

    def _repeat_leaving(self, now: float) -> list[Send]:
        """Push the ``leaving`` mark to random peers and to all partners.

        The random peers are drawn anew at each repetition.
        """
        mark = self.local_marks.announcement(now)
        if self.table.merge(mark, now=now):
            self.reporter.record_made_mark(mark, "stopping")
            self._record_beliefs([mark.subject], now)
        sends = self.epidemic.publish([mark], now)
        name, incarnation = self.identity.name, self.identity.incarnation
        push = Push(name, incarnation, (), (mark,))
        partners = [
            each.instance.inner for each in self.failure_detector.partners.values()
        ]
        reached = {send.destination for send in sends}
        return sends + [Send(each, push) for each in partners if each not in reached]

    def _record_beliefs(self, subjects: Iterable[str], now: float) -> None:
        for subject in subjects:
            self.reporter.record_belief(subject, self.table.belief(subject, now))

    def _update_partners(self, now: float, *, is_forced: bool = False) -> None:
        """Choose partners again if the list or the configuration changed."""
        version = self.log.held.in_force
        if version == self.group_version and not is_forced:
            return
        self.group_version = version
        self.failure_detector.update(self.directory.group(), now)

    # Queries

    def is_eligible(self, instance: str, zone: str, now: float) -> bool:
        """Return whether ``instance`` in ``zone`` may be given new work."""
        return self.eligibility.is_eligible(instance, zone, now)

    def is_target_eligible(self, name: str, target: Target, now: float) -> bool:
        """Return whether the agent of the target ``name`` may be given new work."""
        instance = self.directory.instance_at(agent_endpoint(target)) or name
        return self.eligibility.is_eligible(instance, target.zone, now)

    def peers(self) -> Sequence[Instance]:
        """Return the listed peers of the partial view that are not suspect."""
        return [peer for peer in self.partial_view.listed if self._is_usable(peer)]

    @property
    def is_reader(self) -> bool:
        """Whether this process reads the platform for its zone."""
        return self.reader_lease.is_reader

    def record_read(self, is_successful: bool) -> None:
        """Record whether a read of the platform by this process succeeded."""
        self.reader_lease.record_read(is_successful)

    def receive_marks(self, marks: Sequence[Mark], now: float) -> Sequence[Send]:
        """Merge marks received with bulk state; they are not forwarded."""
        self.now = now
        new_marks = [mark for mark in marks if self.table.merge(mark, now=now)]
        sends = self._refute(new_marks, now)
        self._record_beliefs({mark.subject for mark in new_marks}, now)
        return self._count_sends(sends)

    def marks(self, now: float) -> tuple[Mark, ...]:
        """Return the marks held, for bulk state."""
        return self.table.to_marks(now)

    def bulk_peer(self) -> Instance | None:
        """Return the peer to fetch bulk state from, or None if none is needed."""
        source = self.epidemic.bulk_source
        if source is None or self.log.held.number >= self.epidemic.newest_known:
            return None
        return self.partial_view.by_endpoint.get(source)

    def believed_subjects(self, now: float) -> frozenset[str]:
        """Return the instances and zones on which a mark is believed."""
        subjects = {mark.subject for mark in self.marks(now)}
        return frozenset(s for s in subjects if self.table.belief(s, now) is not None)

    def status(self) -> MembershipStatus:
        """Return the status at the time passed to the most recent call."""
        held = self.log.held
        silent = [
            name
            for name, partner in self.failure_detector.partners.items()
            if partner.lease_deadline <= self.now
        ]
        return MembershipStatus(
            instance=self.identity.name,
            incarnation=self.identity.incarnation,
            version=held.in_force,
            number=held.number,
            lag=max(0, self.epidemic.newest_known - held.number),
            readers=self.reader_lease.readers,
            is_reader=self.reader_lease.is_reader,
            is_cut_off=self.failure_detector.is_cut_off,
            is_leaving=self.is_leaving,
            marks=mark_statuses(self.table, self.now),
            partners=tuple(sorted(self.failure_detector.partners)),
            silent=tuple(sorted(silent)),
            peers=len(self.partial_view.by_name),
        )

    def _count_sends(self, sends: list[Send]) -> list[Send]:
        for send in sends:
            self.sink.count(MESSAGES, kind=type(send.message).__name__)
        return sends
