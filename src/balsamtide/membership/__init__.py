"""Dissemination of configuration entries, failure detection and reader leases.

Configuration entries and the instance list come from the platform, a central service
of the operator.  A few processes of each zone read the entries and disseminate them.
"""

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
