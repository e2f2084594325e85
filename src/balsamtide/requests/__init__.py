"""Running requests: ledger, hand-off between agents, retry budgets."""

from balsamtide.requests.errors import AttemptsFailed, HandOffError, RequestError
from balsamtide.requests.home import (
    ForwardToHome,
    Home,
    KeyedRun,
    Refuse,
    Replay,
    RunHere,
)
from balsamtide.requests.ledger import Identity, Ledger, LedgerSnapshot, RecordedAnswer
from balsamtide.requests.model import Outcome, Refusal, RequestFacts
from balsamtide.requests.retry_budget import RetryBudget
from balsamtide.requests.runner import AnswerWriter, Header, RequestHead, Runner
from balsamtide.requests.stamp import Stamp, StampCodec, StampIssuer

__all__ = [
    "AnswerWriter",
    "ForwardToHome",
    "AttemptsFailed",
    "HandOffError",
    "Header",
    "Home",
    "Identity",
    "KeyedRun",
    "Ledger",
    "LedgerSnapshot",
    "Outcome",
    "RecordedAnswer",
    "Refusal",
    "Refuse",
    "Replay",
    "RequestError",
    "RequestFacts",
    "RequestHead",
    "RetryBudget",
    "RunHere",
    "Runner",
    "Stamp",
    "StampCodec",
    "StampIssuer",
]
