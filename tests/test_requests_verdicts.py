"""Each row of the table of verdicts, provoked."""

from dataclasses import replace
from pathlib import Path

from pytest import mark

from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.exits import Exit, Party
from balsamtide.requests.hand_off import GRANT_S, Taker
from balsamtide.requests.home import AskHome, Home, Refuse, Replay
from balsamtide.requests.ledger import (
    ENTRY_TTL_S,
    MOST_ANSWER_BYTES,
    Ledger,
    RecordedAnswer,
)
from balsamtide.requests.messages import Granted
from balsamtide.requests.stamp import Stamp
from balsamtide.requests.target_answers import classify_answer
from tests.fakes_hand_off import NUMBER, FakeHost
from tests.fakes_requests import make_request, make_service
from tests.test_requests_admission import RAN as ANSWERED
from tests.test_requests_admission import load_report, make_admission
from tests.test_requests_hand_off import FACTS, hand_off

PAGE = Path(__file__).parent.parent / "docs" / "verdicts.md"
FIRST = make_request(key="k")
REPEAT = replace(FIRST, attempt=2)
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
    """Return the home after it was closed."""
    home.close()
    return home


def full(attempt):
    """Return a request at a ledger full of requests in progress."""
    home = make_home(capacity=1)
    home.decide(replace(FIRST, key="other"), OWN, 0.0)
    return home.decide(replace(FIRST, attempt=attempt), OWN, 0.0)


def superseded():
    """Return a late first try after its repeat was refused."""
    home = make_home()
    home.decide(REPEAT, OWN, 0.0).keyed.release()
    return home.decide(FIRST, OWN, 0.0)


def expired(request):
    """Return a request whose earlier try was dropped from the ledger."""
    home = ended(make_home())
    home.expire(ENTRY_TTL_S)
    return home.decide(request, OWN, ENTRY_TTL_S)


def own_only(request):
    """Return a repeat of another tenure of the very target, without peers."""
    return make_home().decide(request, replace_tenure(78), 0.0)


def replace_tenure(tenure):
    """Return the stamp of another tenure."""
    return Stamp(1, 3, tenure, 5)


LARGE = RecordedAnswer(200, (), b"x" * (MOST_ANSWER_BYTES + 1))
SMALL = RecordedAnswer(200, (), b"x")
HOME_ROWS = {
    Exit.STAMP_REQUIRED: lambda: make_home().decide(FIRST, None, 0.0),
    Exit.STAMP_LOST: lambda: make_home().decide(REPEAT, None, 0.0),
    Exit.STAMP_FOREIGN: lambda: make_home().decide(FIRST, replace_tenure(1), 0.0),
    Exit.STAMP_OTHER_SERVICE: lambda: make_home().decide(
        REPEAT, Stamp(2, 3, 77, 5), 0.0
    ),
    Exit.STAMP_OLD: lambda: expired(FIRST),
    Exit.OUTCOME_FORGOTTEN: lambda: expired(REPEAT),
    Exit.OUTCOME_UNKNOWN: lambda: ended(make_home()).decide(REPEAT, OWN, 0.0),
    Exit.ANSWER_NOT_KEPT: lambda: ended(make_home(), LARGE, Verdict.RAN).decide(
        REPEAT, OWN, 0.0
    ),
    Exit.TENURE_GONE: lambda: own_only(REPEAT),
    Exit.TENURE_CLOSED: lambda: closed(make_home()).decide(FIRST, OWN, 0.0),
    Exit.LEDGER_FULL: lambda: full(1),
    Exit.LEDGER_FULL_FOR_REPEAT: lambda: full(2),
    Exit.SUPERSEDED: superseded,
    Exit.HOME_UNREACHABLE: lambda: make_home().unreachable(),
}


@mark.parametrize("row", HOME_ROWS, ids=lambda row: row.name)
def test_home_row(row):
    """The home refuses with the verdict and status of the table."""
    assert HOME_ROWS[row]() == Refuse(row.refusal())


def test_home_in_progress():
    """A repeat beside its first try is refused as in the table."""
    home = make_home()
    home.decide(FIRST, OWN, 0.0)
    assert home.decide(REPEAT, OWN, 0.0) == Refuse(Exit.IN_PROGRESS.refusal())


def test_home_replays():
    """A recorded answer is replayed, which the table calls RAN."""
    home = ended(make_home(), SMALL, Verdict.RAN)
    assert home.decide(REPEAT, OWN, 0.0) == Replay(SMALL)
    assert Exit.REPLAYED.verdict is Verdict.RAN


def busy(queue=64, ejected=False, queued=0):
    """Return a policy whose slot is taken."""
    policy = make_admission(make_service(queue=queue))
    if ejected:
        policy.health.eject(0.0)
        return policy
    for number in range(queued + 1):
        policy.arrive(make_request(f"b{number}", deadline=60.0), 0.0)
    return policy


ADMISSION_ROWS = {
    Exit.DEADLINE: lambda: busy().arrive(make_request("x", deadline=0.01), 0.0),
    Exit.QUEUE_FULL: lambda: busy(queue=1, queued=1).arrive(
        make_request("x", deadline=60.0), 0.0
    ),
    Exit.OVERLOAD: lambda: busy(queued=20).arrive(
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
    """A request that is cancelled in the queue never starts."""
    policy = busy()
    policy.arrive(make_request("x", deadline=60.0), 0.0)
    policy.receive(load_report(2, 0), 0.0)
    policy.cancel("x", 0.0)
    assert policy.finish("b0", ANSWERED, 0.02) == []
    assert Exit.CANCELLED_WAITING.verdict is Verdict.NOT_RUN


def denied():
    """Hand off to a peer that grants nothing."""
    host = FakeHost()
    host.grants = False
    return hand_off(host)[0]


def lost_before_run():
    """Hand off to a peer that has no agent."""
    return hand_off(FakeHost(), targets=(9,))[0]


def taker(*, is_granted=True, is_used=True, is_answering=False):
    """Return a taker at some point of a hand-off."""
    side = Taker(FACTS, 0.0)
    if is_granted:
        side.granted(Granted(int(GRANT_S * 1_000_000)))
    if is_used:
        assert side.use(0.01)
    if is_answering:
        side.answer_started()
    return side


HAND_OFF_ROWS = {
    Exit.NO_GRANT: denied,
    Exit.PEER_LOST_BEFORE_RUN: lambda: (
        taker(is_granted=False, is_used=False).lost(is_silent=False).outcome()
    ),
    Exit.PEER_LOST_AFTER_RUN: lambda: taker().lost(is_silent=False).outcome(),
    Exit.PEER_SILENT: lambda: taker().lost(is_silent=True).outcome(),
    Exit.PEER_LOST_IN_ANSWER: lambda: (
        taker(is_answering=True).lost(is_silent=False).outcome()
    ),
}


@mark.parametrize("row", HAND_OFF_ROWS, ids=lambda row: row.name)
def test_hand_off_row(row):
    """A hand-off ends with the verdict and status of the table."""
    assert HAND_OFF_ROWS[row]() == row.outcome()


def test_expired_grant_is_not_used():
    """A taker with an expired grant sends no run message."""
    assert not taker(is_used=False).use(GRANT_S)
    assert Exit.GRANT_EXPIRED.verdict is Verdict.NOT_RUN


@mark.parametrize(
    ("status", "headers", "expected"),
    [
        (200, (), Exit.ANSWERED),
        (500, (), Exit.ANSWERED),
        (503, ((b"balsamtide-verdict", b"not-run"),), Exit.TARGET_SHED),
        (429, ((b"balsamtide-verdict", b"not-run"),), Exit.TARGET_SHED),
        (503, ((b"retry-after", b"1"),), Exit.TARGET_SHED_UNPROMISED),
        (503, ((b"balsamtide-verdict", b"ran"),), Exit.TARGET_SHED_UNPROMISED),
        (200, ((b"balsamtide-verdict", b"not-run"),), Exit.ANSWERED),
    ],
)
def test_answer_of_a_target(status, headers, expected):
    """Only the target's own promise makes a refusal not run."""
    assert classify_answer(status, headers) is expected


def test_page_shows_every_row():
    """The page lists each way to end with its verdict, status and reason."""
    page = PAGE.read_text()
    for row in Exit:
        status = str(row.status or "of the answer")
        cells = (row.party.value, row.reason, row.verdict.name, status, row.why)
        assert f"| {' | '.join(cells)} |" in page


def test_every_row_of_these_packages_is_provoked():
    """No way to end in home, admission or hand-off is left out above."""
    others = {
        Exit.IN_PROGRESS,
        Exit.REPLAYED,
        Exit.CANCELLED_WAITING,
        Exit.GRANT_EXPIRED,
    }
    provoked = {*HOME_ROWS, *ADMISSION_ROWS, *HAND_OFF_ROWS, *others}
    assert provoked == {row for row in Exit if row.party is not Party.TARGET}


def test_repeat_asks_the_successors():
    """A repeat of another tenure is passed to its issuer and its successors."""
    home = make_home()
    home.configure(make_service(5))
    ask = home.decide(REPEAT, Stamp(1, 4, 9, 5), 0.0)
    assert isinstance(ask, AskHome)
    assert ask.targets[0] == 4 and NUMBER not in ask.targets
