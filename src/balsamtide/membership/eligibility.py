"""Eligibility of instances for new work, derived from the believed marks."""

from balsamtide.membership.directory import Directory
from balsamtide.membership.events import MARKS_IGNORED
from balsamtide.membership.limits import MembershipLimits
from balsamtide.membership.marks import LEAVING, ZONE_PREFIX, MarkTable
from balsamtide.membership.reporter import Reporter

__all__ = ["Eligibility"]


class Eligibility:
    """Applies marks unless they would remove too much capacity.

    Suspect marks are ignored when more than ``max_marked_share`` of a service is
    marked.  Zone marks are ignored when more than that share of the zones is marked.
    Leaving marks are ignored only when the whole service is leaving.

    Parameters
    ----------
    table : MarkTable
        Table of the known claims.
    directory : Directory
        Lookup of services and zones.
    limits : MembershipLimits
        Holds ``max_marked_share``.
    reporter : Reporter
        Reports when marks are ignored.
    """

    def __init__(
        self,
        table: MarkTable,
        *,
        directory: Directory,
        limits: MembershipLimits,
        reporter: Reporter,
    ) -> None:
        self.table = table
        self.directory = directory
        self.limits = limits
        self.reporter = reporter
        self.ignored_scopes: set[str] = set()

    def is_eligible(self, instance: str, zone: str, now: float) -> bool:
        """Return whether ``instance`` in ``zone`` may be given new work."""
        belief = self._belief(instance, zone, now)
        if belief is None:
            return True
        service = self.directory.service_of(instance)
        if service is None:
            return False
        beliefs = [
            self._belief(name, member_zone, now)
            for name, member_zone in self.directory.members(service)
        ]
        if belief == LEAVING:
            return all(each == LEAVING for each in beliefs)
        marked = sum(1 for each in beliefs if each is not None)
        is_ignored = marked > len(beliefs) * self.limits.max_marked_share
        self._report_ignored(service, is_ignored)
        return is_ignored

    def _belief(self, instance: str, zone: str, now: float) -> str | None:
        belief = self.table.belief(instance, now)
        if belief is not None:
            return belief
        zone_belief = self.table.belief(ZONE_PREFIX + zone, now)
        if zone_belief is None or self._are_zones_ignored(now):
            return None
        return zone_belief

    def _are_zones_ignored(self, now: float) -> bool:
        zones = self.directory.zones
        marked = sum(1 for zone in zones if self.table.belief(ZONE_PREFIX + zone, now))
        is_ignored = marked > len(zones) * self.limits.max_marked_share
        self._report_ignored("zones", is_ignored)
        return is_ignored

    def _report_ignored(self, scope: str, is_ignored: bool) -> None:
        if is_ignored and scope not in self.ignored_scopes:
            self.reporter.event(MARKS_IGNORED, scope=scope)
            self.ignored_scopes.add(scope)
        if not is_ignored:
            self.ignored_scopes.discard(scope)
