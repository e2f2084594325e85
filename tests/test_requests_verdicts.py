"""Tests that produce each row of the table of verdicts."""

from dataclasses import replace
from pathlib import Path

from pytest import mark

from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.exits import Exit, Party
from balsamtide.requests.hand_off import GRANT_TTL_S, HandOffSender
from balsamtide.requests.home import ForwardToHome, Home, Refuse, Replay
from balsamtide.requests.ledger import (
    ENTRY_TTL_S,
    MAX_ANSWER_BYTES,
    Ledger,
    RecordedAnswer,
)
from balsamtide.requests.messages import Granted
from balsamtide.requests.stamp import Stamp
from balsamtide.requests.target_answers import classify_answer
from tests.fakes_hand_off import PEER_TARGET, FakeHost
from tests.fakes_requests import make_request, make_service
from tests.test_requests_admission import RAN as RAN_OUTCOME
from tests.test_requests_admission import load_report, make_admission
from tests.test_requests_hand_off import FACTS, hand_off

PAGE = Path(__file__).parent.parent / "docs" / "verdicts.md"
FIRST = make_request(key="k")
RETRY = replace(FIRST, attempt=2)
OWN = Stamp(1, 3, 77, 5)


def make_home(**options):
    """Return the home of target 3 with tenure 77."""
    return Home(1, Ledger(target=3, tenure=77, **options))


def ended(home, answer=None, verdict=Verdict.MAY_HAVE_RUN):
    """Return the home after one request was started and ended."""
    keyed = home.decide(FIRST, OWN, 0.0).keyed
    keyed.start()
    keyed.finish(verdict, answer, 0.0)
    return home


def closed(home):
    """Return the home, closed."""
    home.close()
    return home


def full(attempt):
    """Return the decision at a ledger that is full of requests in progress."""
    home = make_home(capacity=1)
    home.decide(replace(FIRST, key="other"), OWN, 0.0)
    return home.decide(replace(FIRST, attempt=attempt), OWN, 0.0)


def superseded():
    """Return the decision about a delayed first attempt after its retry was refused."""
    home = make_home()
    home.decide(RETRY, OWN, 0.0).keyed.release()
    return home.decide(FIRST, OWN, 0.0)


def expired(request):
    """Return the decision about a request whose entry was dropped."""
    home = ended(make_home())
    home.expire(ENTRY_TTL_S)
    return home.decide(request, OWN, ENTRY_TTL_S)


def decision_on_earlier_tenure(request):
    """Return the decision about a stamp of an earlier tenure of the same target.

    No peers are configured, to which a retry could be forwarded.
    """
    return make_home().decide(request, stamp_of(78), 0.0)


def stamp_of(tenure):
    """Return a stamp of target 3 with the given tenure."""
    return Stamp(1, 3, tenure, 5)


LARGE = RecordedAnswer(200, (), b"x" * (MAX_ANSWER_BYTES + 1))
SMALL = RecordedAnswer(200, (), b"x")
HOME_ROWS = {
    Exit.STAMP_REQUIRED: lambda: make_home().decide(FIRST, None, 0.0),
    Exit.STAMP_LOST: lambda: make_home().decide(RETRY, None, 0.0),
    Exit.STAMP_FOREIGN: lambda: make_home().decide(FIRST, stamp_of(1), 0.0),
    Exit.STAMP_OTHER_SERVICE: lambda: make_home().decide(
        RETRY, Stamp(2, 3, 77, 5), 0.0
    ),
    Exit.STAMP_OLD: lambda: expired(FIRST),
    Exit.OUTCOME_FORGOTTEN: lambda: expired(RETRY),
    Exit.OUTCOME_UNKNOWN: lambda: ended(make_home()).decide(RETRY, OWN, 0.0),
    Exit.ANSWER_NOT_KEPT: lambda: ended(make_home(), LARGE, Verdict.RAN).decide(
        RETRY, OWN, 0.0
    ),
    Exit.TENURE_GONE: lambda: decision_on_earlier_tenure(RETRY),
    Exit.TENURE_CLOSED: lambda: closed(make_home()).decide(FIRST, OWN, 0.0),
    Exit.LEDGER_FULL: lambda: full(1),
    Exit.LEDGER_FULL_FOR_REPEAT: lambda: full(2),
    Exit.SUPERSEDED: superseded,
    Exit.HOME_UNREACHABLE: lambda: make_home().refuse_unreachable(),
}


@mark.parametrize("row", HOME_ROWS, ids=lambda row: row.name)
def test_home_row(row):
    """The home refuses with the verdict and status of the table."""
    assert HOME_ROWS[row]() == Refuse(row.refusal())


def test_home_in_progress():
    """A retry is refused while its first attempt is in progress."""
    home = make_home()
    home.decide(FIRST, OWN, 0.0)
    assert home.decide(RETRY, OWN, 0.0) == Refuse(Exit.IN_PROGRESS.refusal())


def test_home_replays():
    """A recorded answer is replayed with the verdict RAN."""
    home = ended(make_home(), SMALL, Verdict.RAN)
    assert home.decide(RETRY, OWN, 0.0) == Replay(SMALL)
    assert Exit.REPLAYED.verdict is Verdict.RAN


def busy(queue_limit=64, ejected=False, waiting=0):
    """Return a policy whose only slot is in use, with ``waiting`` queued requests.

    If ``ejected``, the slot is free and the target ejected instead.
    """
    policy = make_admission(make_service(queue=queue_limit))
    if ejected:
        policy.health.eject(0.0)
        return policy
    for number in range(waiting + 1):
        policy.arrive(make_request(f"b{number}", deadline=60.0), 0.0)
    return policy


ADMISSION_ROWS = {
    Exit.DEADLINE: lambda: busy().arrive(make_request("x", deadline=0.01), 0.0),
    Exit.QUEUE_FULL: lambda: busy(queue_limit=1, waiting=1).arrive(
        make_request("x", deadline=60.0), 0.0
    ),
    Exit.OVERLOAD: lambda: busy(waiting=20).arrive(
        make_request("x", deadline=60.0), 0.0
    ),
    Exit.TARGET_EJECTED: lambda: busy(ejected=True).arrive(
        make_request("x", deadline=60.0), 0.0
    ),
}


@mark.parametrize("row", ADMISSION_ROWS, ids=lambda row: row.name)
def test_admission_row(row):
    """Admission refuses with the verdict, status and reason of the table."""
    (refused,) = ADMISSION_ROWS[row]()
    expected = row.refusal(refused.refusal.retry_after_s)
    assert refused.refusal == expected
    assert refused.refusal.verdict is Verdict.NOT_RUN


def test_cancelled_while_waiting():
    """A request that is cancelled in the queue is never started.

    Peer 2 reports no free slot, so that the request isn't transferred before.
    """
    policy = busy()
    policy.arrive(make_request("x", deadline=60.0), 0.0)
    policy.receive(load_report(2, 0), 0.0)
    policy.cancel("x", 0.0)
    assert policy.finish("b0", RAN_OUTCOME, 0.02) == []
    assert Exit.CANCELLED_WAITING.verdict is Verdict.NOT_RUN


def denied():
    """Return the outcome of an offer to a peer that grants no slot."""
    host = FakeHost()
    host.is_granting = False
    return hand_off(host)[0]


def lost_before_run():
    """Hand off to a peer that has no agent."""
    return hand_off(FakeHost(), targets=(9,))[0]


def sender(*, is_granted=True, is_used=True, is_answering=False):
    """Return a sender in the given state of a hand-off."""
    state_machine = HandOffSender(FACTS, 0.0)
    if is_granted:
        state_machine.accept_grant(Granted(int(GRANT_TTL_S * 1_000_000)))
    if is_used:
        assert state_machine.use_grant(0.01)
    if is_answering:
        state_machine.answer_started()
    return state_machine


HAND_OFF_ROWS = {
    Exit.NO_GRANT: denied,
    Exit.PEER_LOST_BEFORE_RUN_MESSAGE: lambda: (
        sender(is_granted=False, is_used=False).exit_on_loss(is_silent=False).outcome()
    ),
    Exit.PEER_LOST_AFTER_RUN_MESSAGE: lambda: (
        sender().exit_on_loss(is_silent=False).outcome()
    ),
    Exit.PEER_SILENT: lambda: sender().exit_on_loss(is_silent=True).outcome(),
    Exit.PEER_LOST_IN_ANSWER: lambda: (
        sender(is_answering=True).exit_on_loss(is_silent=False).outcome()
    ),
}


@mark.parametrize("row", HAND_OFF_ROWS, ids=lambda row: row.name)
def test_hand_off_row(row):
    """A hand-off ends with the verdict and status of the table."""
    assert HAND_OFF_ROWS[row]() == row.outcome()


def test_expired_grant_is_not_used():
    """A sender with an expired grant sends no run message."""
    assert not sender(is_used=False).use_grant(GRANT_TTL_S)
    assert Exit.GRANT_EXPIRED.verdict is Verdict.NOT_RUN


@mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, (), Exit.ANSWERED),
        (500, (), Exit.ANSWERED),
        (503, ((b"balsamtide-verdict", b"not-run"),), Exit.TARGET_SHED),
        (429, ((b"balsamtide-verdict", b"not-run"),), Exit.TARGET_SHED),
        (503, ((b"retry-after", b"1"),), Exit.TARGET_SHED_WITHOUT_VERDICT),
        (503, ((b"balsamtide-verdict", b"ran"),), Exit.TARGET_SHED_WITHOUT_VERDICT),
        (200, ((b"balsamtide-verdict", b"not-run"),), Exit.ANSWERED),
    ],
)
def test_answer_of_a_target(status, headers, expected):
    """A refusal is ``NOT_RUN`` only if the target's header says so."""
    assert classify_answer(status, headers) is expected


def test_page_shows_every_row():
    """The page lists each way to end with its verdict, status and reason."""
    page = PAGE.read_text()
    for row in Exit:
        status = str(row.status or "of the answer")
        cells = (row.party.value, row.reason, row.verdict.name, status, row.why)
        assert f"| {' | '.join(cells)} |" in page


def test_every_row_of_these_parties_is_tested():
    """Each row of home, admission and hand-off has a test above.

    Of ``GRANT_EXPIRED`` and ``CANCELLED_WAITING`` only the verdict is compared there.
    """
    others = {
        Exit.IN_PROGRESS,
        Exit.REPLAYED,
        Exit.CANCELLED_WAITING,
        Exit.GRANT_EXPIRED,
    }
    tested = {*HOME_ROWS, *ADMISSION_ROWS, *HAND_OFF_ROWS, *others}
    assert tested == {row for row in Exit if row.party is not Party.TARGET}


def test_retry_is_forwarded_to_the_successors():
    """A retry of another tenure is forwarded to its issuer and its successors."""
    home = make_home()
    home.configure(make_service(5))
    decision = home.decide(RETRY, Stamp(1, 4, 9, 5), 0.0)
    assert isinstance(decision, ForwardToHome)
    assert decision.targets[0] == 4 and PEER_TARGET not in decision.targets
