"""Failure detection among the members of a group by heartbeats and leases."""

from bisect import bisect
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from balsamtide.config.port import Instance
from balsamtide.membership.events import CUT_OFF, PAUSED
from balsamtide.membership.failure_diagnosis import (
    Diagnosis,
    PeerLiveness,
    diagnose_silence,
)
from balsamtide.membership.identity import Identity
from balsamtide.membership.limits import MembershipLimits
from balsamtide.membership.marks import MICROSECONDS, SUSPECT, ZONE_PREFIX, MarkTable
from balsamtide.membership.metrics import HEARTBEATS, PARTNERS_SILENT
from balsamtide.membership.partial_view import PartialView
from balsamtide.membership.reporter import Reporter
from balsamtide.protocol.actions import Send
from balsamtide.protocol.messages import Heartbeat, Mark

__all__ = ["DetectorOutput", "FailureDetector", "choose_partners"]

# Maximum number of instances probed per silent zone in addition to the partners.
ZONE_PROBES = 4
# Share of its time to live after which a claim of this process is renewed.
RENEWAL_SHARE = 0.5


@dataclass(slots=True)
class Partner:
    """A monitored member of the group.

    Parameters
    ----------
    instance : Instance
        Entry in the instance list.
    lease_deadline : float
        Time at which its lease expires, seconds.
    next_heartbeat : float
        Time of the next heartbeat to it, seconds.
    incarnation : int
        Incarnation last received, 0 if none.
    """

    instance: Instance
    lease_deadline: float
    next_heartbeat: float
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class DetectorOutput:
    """Messages to send and marks to make, as decided by the detector."""

    sends: list[Send]
    marks: list[Mark]


def choose_partners(
    local: Instance, group: Sequence[Instance], limits: MembershipLimits
) -> list[Instance]:
    """Return the members of ``group`` that ``local`` monitors.

    These are its ``limits.partners`` successors on a hash ring, and the first
    ``limits.zone_partners`` successors in each remote zone.
    """
    ring = sorted(group, key=lambda each: xxh3_64_intdigest(each.name.encode()))
    hashes = [xxh3_64_intdigest(each.name.encode()) for each in ring]
    start = bisect(hashes, xxh3_64_intdigest(local.name.encode()))
    order = ring[start:] + ring[:start]
    chosen = order[: limits.partners]
    for zone in sorted({each.zone for each in order} - {local.zone}):
        in_zone = [each for each in order if each.zone == zone]
        wanted = in_zone[: limits.zone_partners]
        chosen += [each for each in wanted if each not in chosen]
    return chosen


class FailureDetector:
    """Monitors a few partners and marks silent ones as suspect.

    Parameters
    ----------
    identity : Identity
        Identity of the local instance.
    limits : MembershipLimits
        Leases, periods and delays.
    table : MarkTable
        Table of the known claims, so that redundant ones are not made.
    partial_view : PartialView
        Partial view that supplies the instances to probe.
    reporter : Reporter
        Reports pauses and isolation.
    now : float
        Current time, seconds.
    """

    def __init__(
        self,
        identity: Identity,
        *,
        limits: MembershipLimits,
        table: MarkTable,
        partial_view: PartialView,
        reporter: Reporter,
        now: float,
    ) -> None:
        self.identity = identity
        self.limits = limits
        self.table = table
        self.partial_view = partial_view
        self.reporter = reporter
        self.partners: dict[str, Partner] = {}
        self.zone_last_heard: dict[str, float] = {}
        self.claim_due_at: dict[str, float] = {}
        # Sent as the nonce, which the answer echoes; nothing is compared with it.
        self.heartbeat_number = 0
        self.is_cut_off = False
        self.next_zone_probe = now
        self.deadline = now

    def update(self, group: Sequence[Instance], now: float) -> None:
        """Choose partners from the current members of the local group."""
        chosen = choose_partners(self.identity.instance, group, self.limits)
        lease_deadline = now + self.limits.heartbeat_lease_s
        partners: dict[str, Partner] = {}
        for instance in chosen:
            known = self.partners.get(instance.name)
            if known is None:
                known = Partner(instance, lease_deadline, now)
            known.instance = instance
            partners[instance.name] = known
        self.partners = partners
        self.deadline = min(self.deadline, now)

    def renew_lease(self, name: str, incarnation: int, now: float) -> None:
        """Renew the lease of a sender; any message counts as a heartbeat."""
        zone = self.partial_view.zone_of(name)
        if zone is not None:
            self.zone_last_heard[zone] = now
        partner = self.partners.get(name)
        if partner is None:
            return
        self.zone_last_heard[partner.instance.zone] = now
        partner.lease_deadline = now + self.limits.heartbeat_lease_s
        partner.incarnation = incarnation
        self.claim_due_at.pop(name, None)

    def tick(self, now: float) -> DetectorOutput:
        """Send due heartbeats and diagnose silent partners."""
        if now > self.deadline + self.limits.max_timer_delay_s:
            self._reset_leases(now)
        sends = self._heartbeats(now)
        silent = [each for each in self.partners.values() if each.lease_deadline <= now]
        self.reporter.sink.gauge(PARTNERS_SILENT, len(silent))
        marks: list[Mark] = []
        if silent:
            probed = self._instances_to_probe(silent, now)
            sends += self._probe(probed, now)
            marks = self._diagnose(probed, now)
        else:
            self.is_cut_off = False
            self.claim_due_at = {}
        period_s = self.limits.probe_period_s if silent else self._min_wait_s(now)
        self.deadline = now + period_s
        return DetectorOutput(sends, marks)

    def _min_wait_s(self, now: float) -> float:
        waits = [each.next_heartbeat - now for each in self.partners.values()]
        max_wait_s = self.limits.heartbeat_period_s
        # At least a quarter of the probe period, so that close heartbeats share a tick.
        return max(min(waits, default=max_wait_s), self.limits.probe_period_s / 4)

    def _reset_leases(self, now: float) -> None:
        """Restart all leases, since nothing was received while the process paused."""
        self.reporter.event(PAUSED, late_s=round(now - self.deadline, 3))
        for partner in self.partners.values():
            partner.lease_deadline = now + self.limits.heartbeat_lease_s
            partner.next_heartbeat = now
        self.claim_due_at = {}

    def _heartbeats(self, now: float) -> list[Send]:
        sends = []
        for partner in self.partners.values():
            if partner.next_heartbeat > now:
                continue
            sends.append(self._heartbeat(partner.instance))
            partner.next_heartbeat = now + self._period_s(partner, now)
        return sends

    def _period_s(self, partner: Partner, now: float) -> float:
        """Return the time until the next heartbeat to ``partner``, seconds.

        It is the probe period after 1.5 heartbeat periods of silence, until two leases
        have passed, and the heartbeat period otherwise.
        """
        silence_s = self.limits.heartbeat_lease_s - (partner.lease_deadline - now)
        is_overdue = silence_s > self.limits.heartbeat_period_s * 1.5
        is_given_up = silence_s > self.limits.heartbeat_lease_s * 2
        if is_overdue and not is_given_up:
            return self.limits.probe_period_s
        return self.limits.heartbeat_period_s

    def _heartbeat(self, instance: Instance) -> Send:
        self.heartbeat_number += 1
        self.reporter.sink.count(HEARTBEATS)
        name, incarnation = self.identity.name, self.identity.incarnation
        return Send(instance.inner, Heartbeat(name, incarnation, self.heartbeat_number))

    def _instances_to_probe(
        self, silent: Iterable[Partner], now: float
    ) -> list[Instance]:
        """Return further instances of the remote zones of silent partners.

        Zones from which anything was heard within a heartbeat period are left out.
        """
        zones = {each.instance.zone for each in silent if self._is_remote(each)}
        return [
            peer
            for zone in sorted(zones)
            if self._zone_silence_s(zone, now) >= self.limits.heartbeat_period_s
            for peer in self.partial_view.in_zone(zone, ZONE_PROBES, self.partners)
        ]

    def _is_remote(self, partner: Partner) -> bool:
        return partner.instance.zone != self.identity.instance.zone

    def _probe(self, probed: list[Instance], now: float) -> list[Send]:
        if now < self.next_zone_probe:
            return []
        # Three rounds of probes within the delay before a claim.
        self.next_zone_probe = now + self.limits.suspicion_delay_s / 3
        return [self._heartbeat(instance) for instance in probed]

    def _is_zone_silent(self, zone: str, now: float) -> bool:
        return self._zone_silence_s(zone, now) >= self.limits.heartbeat_lease_s

    def _zone_silence_s(self, zone: str, now: float) -> float:
        return now - self.zone_last_heard.get(zone, float("-inf"))

    def _may_be_zone_failure(self, partner: Partner, now: float) -> bool:
        """Return whether it is too early to tell a zone failure from a member failure.

        That is so while nothing was heard from the zone of the partner for longer than
        the maximum gap between heartbeats but for less than a lease.
        """
        if not self._is_remote(partner):
            return False
        silence_s = self._zone_silence_s(partner.instance.zone, now)
        max_gap_s = self.limits.heartbeat_period_s + self.limits.probe_period_s
        return max_gap_s < silence_s < self.limits.heartbeat_lease_s

    def _diagnose(self, probed: list[Instance], now: float) -> list[Mark]:
        observed = [self._liveness_of(each, now) for each in self.partners.values()]
        # One placeholder per zone that was heard, also from instances that are not
        # partners, so that the zone is not diagnosed as failed.
        heard = [
            PeerLiveness(ZONE_PREFIX + zone, zone, is_silent=False)
            for zone in sorted({each.zone for each in observed})
            if not self._is_zone_silent(zone, now)
        ]
        unanswered = [
            PeerLiveness(each.name, each.zone, is_silent=True) for each in probed
        ]
        local_zone = self.identity.instance.zone
        diagnosis = diagnose_silence(local_zone, observed, [*heard, *unanswered])
        if diagnosis.is_cut_off:
            self._report_cut_off(now)
            return []
        self.is_cut_off = False
        return self._due_marks(diagnosis, now)

    def _liveness_of(self, partner: Partner, now: float) -> PeerLiveness:
        is_silent = partner.lease_deadline <= now
        return PeerLiveness(partner.instance.name, partner.instance.zone, is_silent)

    def _report_cut_off(self, now: float) -> None:
        self.claim_due_at = {}
        if self.is_cut_off:
            return
        self.is_cut_off = True
        silent = sum(1 for each in self.partners.values() if each.lease_deadline <= now)
        self.reporter.event(CUT_OFF, silent=silent, partners=len(self.partners))

    def _due_marks(self, diagnosis: Diagnosis, now: float) -> list[Mark]:
        incarnation_by_subject = {
            ZONE_PREFIX + zone: 0 for zone in sorted(diagnosis.zones)
        }
        for name in sorted(diagnosis.members):
            partner = self.partners[name]
            zone_mark = self.table.belief(ZONE_PREFIX + partner.instance.zone, now)
            if zone_mark is None:
                incarnation_by_subject[name] = partner.incarnation
        self.claim_due_at = {
            subject: due
            for subject, due in self.claim_due_at.items()
            if subject in incarnation_by_subject
        }
        return [
            mark
            for subject, incarnation in incarnation_by_subject.items()
            if not self._is_postponed(subject, now)
            for mark in self._due_marks_on(subject, incarnation, now)
        ]

    def _is_postponed(self, subject: str, now: float) -> bool:
        partner = self.partners.get(subject)
        return partner is not None and self._may_be_zone_failure(partner, now)

    def _due_marks_on(self, subject: str, incarnation: int, now: float) -> list[Mark]:
        """Return a suspect mark after its delay, and again when a renewal is due."""
        due = self.claim_due_at.setdefault(subject, now + self.limits.suspicion_delay_s)
        if now < due:
            return []
        max_ttl_s = self.limits.suspect_ttl_s
        self.claim_due_at[subject] = now + max_ttl_s * RENEWAL_SHARE
        if self.table.is_redundant(subject, self.identity.name, now):
            return []
        incarnation = max(incarnation, self.table.incarnation_of(subject))
        remaining_us = int(max_ttl_s * MICROSECONDS)
        name = self.identity.name
        return [Mark(subject, SUSPECT, name, incarnation, remaining_us)]
