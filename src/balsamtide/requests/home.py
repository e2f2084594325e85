"""Decision where a keyed request may run, given its earlier attempts.

The home of a key is the agent that holds the ledger of the tenure named in the stamp:
the agent that issued the stamp, and after this ledger was closed, the one successor
that adopted it.  No other agent runs a request with the key.
"""

from dataclasses import dataclass

from balsamtide.config.model import Service
from balsamtide.protocol.messages import TenureClosed
from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.exits import Exit
from balsamtide.requests.ledger import (
    ClaimResult,
    Entry,
    Identity,
    Ledger,
    LedgerSnapshot,
    RecordedAnswer,
)
from balsamtide.requests.model import Refusal, RequestFacts
from balsamtide.requests.stamp import Stamp
from balsamtide.requests.succession import successors

__all__ = [
    "ForwardToHome",
    "Home",
    "HomeDecision",
    "KeyedRun",
    "Refuse",
    "Replay",
    "RunHere",
]

MAX_ADOPTED_LEDGERS = 16
MAX_CLOSED_TENURES = 256
MAX_CANDIDATES = 3


@dataclass(frozen=True, slots=True)
class KeyedRun:
    """Handle of a claim in a ledger; the runner reports to it.

    Parameters
    ----------
    ledger : Ledger
        Ledger that holds the claim.
    identity : Identity
        Identity of the request.
    claim : int
        Number of the claim.
    """

    ledger: Ledger
    identity: Identity
    claim: int

    def start(self) -> bool:
        """Record the start; return False if the request must not run."""
        return self.ledger.start(self.identity, self.claim)

    def revert_start(self) -> bool:
        """Undo the start after ``NOT_RUN``, to try another target."""
        return self.ledger.revert_start(self.identity, self.claim)

    def release(self) -> None:
        """Release the claim of a request that did not run."""
        self.ledger.release(self.identity, self.claim)

    def finish(
        self, verdict: Verdict, answer: RecordedAnswer | None, now: float
    ) -> None:
        """Record the outcome."""
        self.ledger.finish(self.identity, self.claim, verdict, answer, now)


@dataclass(frozen=True, slots=True)
class RunHere:
    """Admit the request at this agent.

    ``keyed`` is the claim in the ledger, None for a request that needs no ledger.
    """

    keyed: KeyedRun | None


@dataclass(frozen=True, slots=True)
class Replay:
    """Send the recorded answer; the verdict is ``RAN``."""

    answer: RecordedAnswer


@dataclass(frozen=True, slots=True)
class ForwardToHome:
    """Forward the retry to the agents of these targets in turn, until one is its home.

    Parameters
    ----------
    targets : tuple of int
        Candidates: the announced successor or else the issuer, then the possible
        successors in order.
    stamp : Stamp
        Stamp that came with the key.
    """

    targets: tuple[int, ...]
    stamp: Stamp

    @property
    def target(self) -> int:
        """The first candidate."""
        return self.targets[0]


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse the request."""

    refusal: Refusal


HomeDecision = RunHere | Replay | ForwardToHome | Refuse


class Home:
    """Ledgers of an agent, and its decisions about keyed requests.

    Each agent has a ``Home``; it is the home of the keys whose ledger it holds.

    Parameters
    ----------
    service : int
        Service number.
    ledger : Ledger
        Ledger of the agent's current tenure.
    """

    def __init__(self, service: int, ledger: Ledger) -> None:
        self.service = service
        self.ledger = ledger
        self.service_config: Service | None = None
        self.adopted: dict[int, Ledger] = {}
        self.successor_by_tenure: dict[int, int] = {}

    def configure(self, service_config: Service) -> None:
        """Apply the service's section of a new configuration version."""
        self.service_config = service_config

    def decide(
        self, request: RequestFacts, stamp: Stamp | None, now: float
    ) -> HomeDecision:
        """Decide about a request received from a caller."""
        if request.key is None or request.is_idempotent:
            return RunHere(None)
        is_first = request.attempt == 1
        if stamp is None:
            missing = Exit.STAMP_REQUIRED if is_first else Exit.STAMP_LOST
            return Refuse(missing.refusal())
        is_ours = stamp.service == self.service
        if is_first and not (is_ours and stamp.tenure == self.ledger.tenure):
            return Refuse(Exit.STAMP_FOREIGN.refusal())
        if not is_ours:
            return Refuse(Exit.STAMP_OTHER_SERVICE.refusal())
        ledger = self._ledger(stamp.tenure)
        if ledger is None:
            return self._forward(stamp)
        return self._decide_from_ledger(ledger, request, request.key, stamp, now)

    def decide_forwarded(
        self, request: RequestFacts, stamp: Stamp, now: float
    ) -> HomeDecision:
        """Decide about a forwarded retry; never returns ``ForwardToHome``."""
        if stamp.service != self.service or request.key is None:
            return Refuse(Exit.STAMP_OTHER_SERVICE.refusal())
        ledger = self._ledger(stamp.tenure)
        if ledger is not None:
            return self._decide_from_ledger(ledger, request, request.key, stamp, now)
        return Refuse(Exit.TENURE_GONE.refusal())

    def refuse_unreachable(self) -> Refuse:
        """Return the refusal of a retry whose home, another agent, doesn't answer."""
        return Refuse(Exit.HOME_UNREACHABLE.refusal())

    def record_closure(self, message: TenureClosed) -> None:
        """Record the successor of a closed tenure."""
        if message.service != self.service:
            return
        self.successor_by_tenure.pop(message.tenure, None)
        self.successor_by_tenure[message.tenure] = message.successor
        while len(self.successor_by_tenure) > MAX_CLOSED_TENURES:
            del self.successor_by_tenure[next(iter(self.successor_by_tenure))]

    def adopt(self, snapshot: LedgerSnapshot, now: float) -> bool:
        """Adopt a closed ledger; return False if it is refused.

        A tenure is adopted only once, and a closed home adopts none.
        """
        if self.ledger.is_closed or snapshot.tenure in self.adopted:
            return False
        if len(self.adopted) >= MAX_ADOPTED_LEDGERS:
            return False
        self.adopted[snapshot.tenure] = Ledger.from_snapshot(snapshot, now)
        return True

    def close(self) -> None:
        """Close the agent's ledger and the adopted ones, permanently."""
        self.ledger.close()
        for ledger in self.adopted.values():
            ledger.close()

    def expire(self, now: float) -> None:
        """Drop expired entries of all ledgers."""
        for ledger in (self.ledger, *self.adopted.values()):
            ledger.expire(now)

    def _ledger(self, tenure: int) -> Ledger | None:
        if tenure == self.ledger.tenure:
            return self.ledger
        return self.adopted.get(tenure)

    def _decide_from_ledger(
        self,
        ledger: Ledger,
        request: RequestFacts,
        key: str,
        stamp: Stamp,
        now: float,
    ) -> HomeDecision:
        """Claim the request in ``ledger`` and decide by the result."""
        identity = Identity(stamp.sequence, key)
        result = ledger.claim(identity, now, attempt=request.attempt)
        match result:
            case ClaimResult.GRANTED:
                return RunHere(KeyedRun(ledger, identity, ledger.last_claim))
            case ClaimResult.DONE:
                return self._replay(ledger.get(identity))
            case ClaimResult.IN_PROGRESS:
                return Refuse(Exit.IN_PROGRESS.refusal())
            case ClaimResult.FORGOTTEN:
                return self._refuse_forgotten(request)
            case ClaimResult.SUPERSEDED:
                return Refuse(Exit.SUPERSEDED.refusal())
            case ClaimResult.CLOSED:
                return Refuse(Exit.TENURE_CLOSED.refusal())
            case ClaimResult.FULL if request.attempt == 1:
                return Refuse(Exit.LEDGER_FULL.refusal())
            case ClaimResult.FULL:
                return Refuse(Exit.LEDGER_FULL_FOR_REPEAT.refusal())

    def _forward(self, stamp: Stamp) -> HomeDecision:
        announced = self.successor_by_tenure.get(stamp.tenure, stamp.target)
        candidates = [announced]
        if self.service_config is not None:
            candidates += successors(self.service_config, stamp.target)
        targets = tuple(
            target
            for target in dict.fromkeys(candidates)
            if target != self.ledger.target
        )
        if not targets:
            return Refuse(Exit.TENURE_GONE.refusal())
        return ForwardToHome(targets[:MAX_CANDIDATES], stamp)

    def _replay(self, entry: Entry | None) -> HomeDecision:
        if entry is None or entry.verdict is not Verdict.RAN:
            return Refuse(Exit.OUTCOME_UNKNOWN.refusal())
        if entry.answer is None:
            return Refuse(Exit.ANSWER_NOT_KEPT.refusal())
        return Replay(entry.answer)

    def _refuse_forgotten(self, request: RequestFacts) -> HomeDecision:
        if request.attempt == 1:
            return Refuse(Exit.STAMP_OLD.refusal())
        return Refuse(Exit.OUTCOME_FORGOTTEN.refusal())
