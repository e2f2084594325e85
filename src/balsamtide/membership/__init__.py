"""Spread of configuration entries, liveness of peers, and who reads the platform."""

from balsamtide.membership.limits import MembershipLimits
from balsamtide.membership.membership import Membership
from balsamtide.membership.participant import Participant
from balsamtide.membership.spreading import (
    PushOnly,
    PushWithExchange,
    RelayTree,
    Spreading,
)
from balsamtide.membership.status import MarkStatus, MembershipStatus
from balsamtide.membership.view import LivenessView

__all__ = [
    "LivenessView",
    "MarkStatus",
    "Membership",
    "MembershipLimits",
    "MembershipStatus",
    "Participant",
    "PushOnly",
    "PushWithExchange",
    "RelayTree",
    "Spreading",
]
