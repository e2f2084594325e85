"""Consistent target selection and precomputed routing tables."""

from balsamtide.routing.maglev import Maglev
from balsamtide.routing.picker import Candidate, TargetPicker
from balsamtide.routing.rendezvous import Rendezvous
from balsamtide.routing.table import (
    RoutingTable,
    ServiceAddress,
    TargetRoute,
    build_table,
)

__all__ = [
    "Candidate",
    "Maglev",
    "Rendezvous",
    "RoutingTable",
    "ServiceAddress",
    "TargetPicker",
    "TargetRoute",
    "build_table",
]
