"""Dissemination of configuration entries, failure detection and reader leases."""

from balsamtide.membership.dissemination import (
    Dissemination,
    PushOnly,
    PushWithExchange,
    RelayTree,
)
from balsamtide.membership.limits import MembershipLimits
from balsamtide.membership.membership import Membership
from balsamtide.membership.participant import Participant
from balsamtide.membership.status import MarkStatus, MembershipStatus
from balsamtide.membership.view import LivenessView

__all__ = [
    "Dissemination",
    "LivenessView",
    "MarkStatus",
    "Membership",
    "MembershipLimits",
    "MembershipStatus",
    "Participant",
    "PushOnly",
    "PushWithExchange",
    "RelayTree",
]
