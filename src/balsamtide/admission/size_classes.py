"""Whether a route's work is short or long."""

from collections.abc import Iterable

from balsamtide.admission.estimates import ServiceTimes
from balsamtide.config.model import Route, SizeClass

__all__ = ["SizeClasses"]

LONG_FACTOR = 8.0
SHORT_AGAIN_FACTOR = 4.0
MIN_SAMPLES = 3
REFERENCE_SHARE = 0.05


class SizeClasses:
    """Classes of routes, stated in the configuration or learned.

    A route is long when its median service time is ``LONG_FACTOR`` times that of the
    fastest route with a noticeable share of the requests.  Hysteresis keeps a route
    near the boundary in its class.

    Parameters
    ----------
    routes : iterable of Route
        Routes of the service.
    times : ServiceTimes
        Measured service times.
    """

    def __init__(self, routes: Iterable[Route], times: ServiceTimes) -> None:
        self.times = times
        self.stated: dict[str, SizeClass] = {}
        self.learned: dict[str, SizeClass] = {}
        self.configure(routes)

    def configure(self, routes: Iterable[Route]) -> None:
        """Take the routes of a new configuration."""
        self.stated = {route.prefix: route.size_class for route in routes}
        self.times.forget(frozenset(self.stated))
        self.learned = {
            name: size for name, size in self.learned.items() if name in self.stated
        }

    def size(self, route: str) -> SizeClass:
        """Return ``SHORT`` or ``LONG``; unknown routes are short."""
        stated = self.stated.get(route, SizeClass.LEARNED)
        if stated is not SizeClass.LEARNED:
            return stated
        return self.learned.get(route, SizeClass.SHORT)

    def learn(self, route: str) -> None:
        """Judge ``route`` again after a new service time."""
        summary = self.times.summary(route)
        if summary.count < MIN_SAMPLES:
            return
        ratio = summary.median_s / self._reference()
        if ratio >= LONG_FACTOR:
            self.learned[route] = SizeClass.LONG
        elif ratio < SHORT_AGAIN_FACTOR:
            self.learned[route] = SizeClass.SHORT

    def _reference(self) -> float:
        summaries = [times.summary for times in self.times.routes.values()]
        total = sum(summary.count for summary in summaries)
        return min(
            summary.median_s
            for summary in summaries
            if summary.count >= max(1, REFERENCE_SHARE * total)
        )
