"""Admission control: starts, queues, transfers or refuses requests of a target."""

from balsamtide.admission.deadline_admission import (
    AdmissionIdentity,
    DeadlineAdmission,
)
from balsamtide.admission.fifo_admission import FifoAdmission
from balsamtide.admission.peer_loads import PeerLoads
from balsamtide.admission.pending_offers import PendingOffers
from balsamtide.admission.policy import (
    AdmissionPolicy,
    Decision,
    Refuse,
    Start,
    Transfer,
)

__all__ = [
    "AdmissionIdentity",
    "AdmissionPolicy",
    "DeadlineAdmission",
    "Decision",
    "FifoAdmission",
    "PeerLoads",
    "PendingOffers",
    "Refuse",
    "Start",
    "Transfer",
]
