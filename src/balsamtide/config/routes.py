"""Choice of the route that applies to a path."""

from balsamtide.config.model import Route, Service

__all__ = ["match_route"]

DEFAULT_ROUTE = Route(prefix="/")


def match_route(service: Service, path: str) -> Route:
    """Return the route with the longest prefix of ``path``."""
    matching = [r for r in service.rules.routes if path.startswith(r.prefix)]
    return max(matching, key=lambda r: len(r.prefix), default=DEFAULT_ROUTE)
