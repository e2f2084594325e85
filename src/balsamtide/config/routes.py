"""Matching of request paths to routes."""

from balsamtide.config.model import Route, Service

__all__ = ["match_route"]

DEFAULT_ROUTE = Route(prefix="/")


def match_route(service: Service, path: str) -> Route:
    """Return the route whose prefix is the longest match of ``path``.

    A route with the default rules is returned where none matches.
    """
    matching = [r for r in service.rules.routes if path.startswith(r.prefix)]
    return max(matching, key=lambda r: len(r.prefix), default=DEFAULT_ROUTE)
