"""Tests of stamps, the ledger and the home of keyed requests."""

from dataclasses import replace

from pytest import mark, raises

from balsamtide.protocol.datagram import MacKeys
from balsamtide.protocol.messages import TenureClosed
from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.exits import Exit
from balsamtide.requests.home import ForwardToHome, Home, Refuse, Replay, RunHere
from balsamtide.requests.ledger import (
    ENTRY_TTL_S,
    MAX_ANSWER_BYTES,
    ClaimResult,
    Identity,
    Ledger,
    RecordedAnswer,
)
from balsamtide.requests.stamp import Stamp, StampCodec, StampIssuer
from tests.fakes_requests import KEYS, make_request

ANSWER = RecordedAnswer(200, ((b"a", b"b"),), b"done")
KEYED = make_request(key="k")
RETRY = replace(KEYED, attempt=2)
# Service 1, target 3, tenure 77, sequence 5: the tenure of ``make_home``.
OWN = Stamp(1, 3, 77, 5)


def make_home(tenure=77, target=3, **options):
    """Return the home of one agent."""
    return Home(1, Ledger(target=target, tenure=tenure, **options))


def run(home, request=KEYED, stamp=OWN, answer=ANSWER, verdict=Verdict.RAN, now=0.0):
    """Run a request at its home until it ends."""
    decision = home.decide(request, stamp, now)
    assert isinstance(decision, RunHere)
    assert decision.keyed.start()
    decision.keyed.finish(verdict, answer, now)


def test_tokens_decode_to_their_stamps():
    """A token decodes to the stamp that it was encoded from."""
    codec = StampCodec(KEYS)
    issuer = StampIssuer(codec, service=1, target=3, tenure=77)
    tokens = [issuer.issue(), issuer.issue()]
    assert [codec.decode(token) for token in tokens] == [
        Stamp(1, 3, 77, 1),
        Stamp(1, 3, 77, 2),
    ]


@mark.parametrize(
    "token",
    [b"", b"=", b"AAAA", b"\xff\xfe", b"A" * 200, b"A" * 40],
    ids=["empty", "padding", "short", "not-base64", "long", "zeros"],
)
def test_invalid_tokens_are_rejected(token):
    """A token that was not issued by an agent decodes to None."""
    assert StampCodec(KEYS).decode(token) is None


def test_modified_tokens_are_rejected():
    """A token with one modified character decodes to None."""
    codec = StampCodec(KEYS)
    token = codec.encode(OWN)
    # The last character may differ without effect: its low bits are unused in base64.
    for i in range(len(token) - 1):
        forged = token[:i] + (b"A" if token[i : i + 1] != b"A" else b"B")
        assert codec.decode(forged + token[i + 1 :]) is None


def test_tokens_of_the_previous_key_are_valid():
    """A token issued before a key rotation is valid as long as its key is known."""
    token = StampCodec(KEYS).encode(OWN)
    rotated = StampCodec(MacKeys(current=2, keys=KEYS.keys))
    assert rotated.decode(token) == OWN
    assert StampCodec(MacKeys(current=2, keys={2: b"l" * 32})).decode(token) is None


@mark.parametrize(
    ("request_", "stamp", "expected"),
    [
        (make_request(), None, RunHere(None)),
        (make_request(key="k", method="GET"), None, RunHere(None)),
        (KEYED, None, Refuse(Exit.STAMP_REQUIRED.refusal())),
        (RETRY, None, Refuse(Exit.STAMP_LOST.refusal())),
        # Another tenure of this target, another target, another service.
        (KEYED, Stamp(1, 3, 78, 5), Refuse(Exit.STAMP_FOREIGN.refusal())),
        (KEYED, Stamp(1, 4, 99, 5), Refuse(Exit.STAMP_FOREIGN.refusal())),
        (KEYED, Stamp(2, 3, 77, 5), Refuse(Exit.STAMP_FOREIGN.refusal())),
        # Another service, another tenure of this target, another target.
        (RETRY, Stamp(2, 3, 77, 5), Refuse(Exit.STAMP_OTHER_SERVICE.refusal())),
        (RETRY, Stamp(1, 3, 78, 5), Refuse(Exit.TENURE_GONE.refusal())),
        (RETRY, Stamp(1, 4, 99, 5), ForwardToHome((4,), Stamp(1, 4, 99, 5))),
    ],
)
def test_only_the_holder_of_the_tenure_runs_a_keyed_request(request_, stamp, expected):
    """A keyed request without a stamp, or with a stamp from elsewhere, doesn't run."""
    assert make_home().decide(request_, stamp, 0.0) == expected


def test_retry_gets_the_recorded_answer():
    """A retry of a finished request is answered from the ledger."""
    home = make_home()
    run(home)
    assert home.decide(RETRY, OWN, 1.0) == Replay(ANSWER)
    assert home.decide_forwarded(RETRY, OWN, 1.0) == Replay(ANSWER)


@mark.parametrize(
    ("answer", "verdict", "expected"),
    [
        (None, Verdict.MAY_HAVE_RUN, Exit.OUTCOME_UNKNOWN),
        (
            RecordedAnswer(200, (), b"x" * (MAX_ANSWER_BYTES + 1)),
            Verdict.RAN,
            Exit.ANSWER_NOT_KEPT,
        ),
    ],
)
def test_retry_without_a_recorded_answer(answer, verdict, expected):
    """A retry is refused when the answer was not recorded."""
    home = make_home()
    run(home, answer=answer, verdict=verdict)
    assert home.decide(RETRY, OWN, 1.0) == Refuse(expected.refusal())


def test_retry_of_a_request_in_progress():
    """A retry is refused while the first attempt is queued or running."""
    home = make_home()
    keyed = home.decide(KEYED, OWN, 0.0).keyed
    refusal = Refuse(Exit.IN_PROGRESS.refusal())
    assert home.decide(RETRY, OWN, 0.0) == refusal
    assert keyed.start()
    assert home.decide(RETRY, OWN, 0.0) == refusal


def test_retry_runs_after_a_release():
    """A retry runs if the ledger shows that no earlier attempt ran."""
    home = make_home()
    home.decide(KEYED, OWN, 0.0).keyed.release()
    run(home, RETRY)


def test_stale_claim_has_no_effect():
    """A holder that resumes after its claim was released can't affect a later claim."""
    home = make_home()
    old = home.decide(KEYED, OWN, 0.0).keyed
    old.release()
    new = home.decide(RETRY, OWN, 0.0).keyed
    assert not old.start()
    assert new.start()
    old.release()
    old.finish(Verdict.NOT_RUN, None, 0.0)
    assert not old.revert_start()
    assert home.decide(RETRY, OWN, 0.0) == Refuse(Exit.IN_PROGRESS.refusal())


@mark.parametrize(
    ("request_", "expected"),
    [(RETRY, Exit.OUTCOME_FORGOTTEN), (KEYED, Exit.STAMP_OLD)],
)
def test_dropped_entries_are_refused(request_, expected):
    """Requests with a sequence below the watermark are refused."""
    home = make_home()
    run(home)
    home.expire(ENTRY_TTL_S + 1)
    assert home.decide(request_, OWN, ENTRY_TTL_S + 1) == Refuse(expected.refusal())


def test_ledger_is_bounded():
    """A full ledger evicts ended entries, and refuses new claims if none has ended."""
    home = make_home(capacity=2)
    for sequence in (1, 2, 3):
        run(home, stamp=Stamp(1, 3, 77, sequence))
    assert len(home.ledger.entries) == 2
    assert home.decide(RETRY, Stamp(1, 3, 77, 1), 0.0) == Refuse(
        Exit.OUTCOME_FORGOTTEN.refusal()
    )
    ledger = Ledger(target=3, tenure=1, capacity=1)
    assert ledger.claim(Identity(1, "a"), 0.0) is ClaimResult.GRANTED
    assert ledger.claim(Identity(2, "b"), 0.0) is ClaimResult.FULL


def test_recorded_answers_are_bounded(monkeypatch):
    """The oldest answers are dropped when their total size exceeds the limit."""
    monkeypatch.setattr("balsamtide.requests.ledger.MAX_TOTAL_ANSWER_BYTES", 10)
    home = make_home()
    for sequence in (1, 2, 3):
        run(home, stamp=Stamp(1, 3, 77, sequence))
    kept = [entry.answer is not None for entry in home.ledger.entries.values()]
    assert kept == [False, False, True]
    assert home.ledger.total_answer_bytes <= 10


def test_successor_continues_a_closed_tenure():
    """The successor replays ended requests and runs those that were never started.

    A retry of a request that was in progress is refused.
    """
    old, new = make_home(), make_home(tenure=88, target=4)
    run(old)
    waiting = old.decide(replace(KEYED, key="w"), OWN, 0.0).keyed
    started = old.decide(replace(KEYED, key="s"), OWN, 0.0).keyed
    assert started.start()
    with raises(ValueError, match="open ledger"):
        old.ledger.snapshot(0.0)
    old.close()
    assert not waiting.start()
    assert old.decide(replace(KEYED, key="n"), OWN, 0.0) == Refuse(
        Exit.TENURE_CLOSED.refusal()
    )
    snapshot = old.ledger.snapshot(0.0)
    with raises(ValueError, match="tenure 77: its snapshot was already taken"):
        old.ledger.snapshot(0.0)
    assert new.adopt(snapshot, 0.0)
    assert not new.adopt(snapshot, 0.0)
    assert new.decide(RETRY, OWN, 1.0) == Replay(ANSWER)
    run(new, replace(RETRY, key="w"))
    assert new.decide(replace(RETRY, key="s"), OWN, 1.0) == Refuse(
        Exit.OUTCOME_UNKNOWN.refusal()
    )


def test_closure_points_to_the_successor():
    """A retry is forwarded to the announced successor of its tenure."""
    home = make_home(tenure=88, target=4)
    home.record_closure(TenureClosed("i", 1, 1, 3, 77, 9))
    assert home.decide(RETRY, OWN, 0.0) == ForwardToHome((9,), OWN)
    # Announced as successor itself, but without the ledger.
    home.record_closure(TenureClosed("i", 1, 1, 3, 77, 4))
    assert home.decide(RETRY, OWN, 0.0) == Refuse(Exit.TENURE_GONE.refusal())


def test_closed_home_adopts_no_ledger():
    """A stopping agent doesn't become a successor."""
    old, new = make_home(), make_home(tenure=88, target=4)
    old.close()
    new.close()
    assert not new.adopt(old.ledger.snapshot(0.0), 0.0)
