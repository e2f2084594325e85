"""Classification of routes by service time, short or long."""

from collections.abc import Iterable

from balsamtide.admission.estimates import ServiceTimes
from balsamtide.config.model import Route, SizeClass

__all__ = ["SizeClasses"]

LONG_FACTOR = 8.0
SHORT_FACTOR = 4.0
MIN_SAMPLES = 3
MIN_REFERENCE_SHARE = 0.05


class SizeClasses:
    """Size classes of routes, configured or learned.

    A route becomes long when its median service time reaches ``LONG_FACTOR`` times that
    of the fastest route with at least ``MIN_REFERENCE_SHARE`` of the requests.  It
    becomes short again below ``SHORT_FACTOR`` times; the gap is a hysteresis.

    Parameters
    ----------
    routes : iterable of Route
        Routes of the service.
    times : ServiceTimes
        Measured service times.
    """

    def __init__(self, routes: Iterable[Route], times: ServiceTimes) -> None:
        self.times = times
        self.configured: dict[str, SizeClass] = {}
        self.learned: dict[str, SizeClass] = {}
        self.configure(routes)

    def configure(self, routes: Iterable[Route]) -> None:
        """Apply the routes of a new configuration."""
        self.configured = {route.prefix: route.size_class for route in routes}
        self.times.retain(frozenset(self.configured))
        self.learned = {
            name: size for name, size in self.learned.items() if name in self.configured
        }

    def size(self, route: str) -> SizeClass:
        """Return ``SHORT`` or ``LONG``; unknown routes are short."""
        configured = self.configured.get(route, SizeClass.LEARNED)
        if configured is not SizeClass.LEARNED:
            return configured
        return self.learned.get(route, SizeClass.SHORT)

    def reclassify(self, route: str) -> None:
        """Update the learned class of ``route`` after a new service time."""
        summary = self.times.summary(route)
        if summary.count < MIN_SAMPLES:
            return
        ratio = summary.median_s / self._reference()
        if ratio >= LONG_FACTOR:
            self.learned[route] = SizeClass.LONG
        elif ratio < SHORT_FACTOR:
            self.learned[route] = SizeClass.SHORT

    def _reference(self) -> float:
        summaries = [times.summary for times in self.times.routes.values()]
        total = sum(summary.count for summary in summaries)
        return min(
            summary.median_s
            for summary in summaries
            if summary.count >= max(1, MIN_REFERENCE_SHARE * total)
        )
