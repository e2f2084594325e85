"""Stamps, the ledger and the home of keyed requests."""

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
REPEAT = replace(KEYED, attempt=2)
OWN = Stamp(1, 3, 77, 5)


def make_home(tenure=77, target=3, **options):
    """Return a home for one agent."""
    return Home(1, Ledger(target=target, tenure=tenure, **options))


def run(home, request=KEYED, stamp=OWN, answer=ANSWER, verdict=Verdict.RAN, now=0.0):
    """Run a request at its home to the end."""
    decision = home.decide(request, stamp, now)
    assert isinstance(decision, RunHere)
    assert decision.keyed.start()
    decision.keyed.finish(verdict, answer, now)


def test_stamps_survive_the_way():
    """A token gives back the stamp that it was made of."""
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
def test_forged_tokens_are_nothing(token):
    """A token that no agent made gives no stamp."""
    assert StampCodec(KEYS).decode(token) is None


def test_every_changed_octet_is_noticed():
    """A token with one changed character gives no stamp."""
    codec = StampCodec(KEYS)
    token = codec.encode(OWN)
    for i in range(len(token) - 1):
        forged = token[:i] + (b"A" if token[i : i + 1] != b"A" else b"B")
        assert codec.decode(forged + token[i + 1 :]) is None


def test_old_key_is_still_read():
    """A token made before a key rotation is read after it."""
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
        (REPEAT, None, Refuse(Exit.STAMP_LOST.refusal())),
        (KEYED, Stamp(1, 3, 78, 5), Refuse(Exit.STAMP_FOREIGN.refusal())),
        (KEYED, Stamp(1, 4, 99, 5), Refuse(Exit.STAMP_FOREIGN.refusal())),
        (KEYED, Stamp(2, 3, 77, 5), Refuse(Exit.STAMP_FOREIGN.refusal())),
        (REPEAT, Stamp(2, 3, 77, 5), Refuse(Exit.STAMP_OTHER_SERVICE.refusal())),
        (REPEAT, Stamp(1, 3, 78, 5), Refuse(Exit.TENURE_GONE.refusal())),
        (REPEAT, Stamp(1, 4, 99, 5), ForwardToHome((4,), Stamp(1, 4, 99, 5))),
    ],
)
def test_requests_without_a_record_here(request_, stamp, expected):
    """Only the holder of the stamp's tenure runs a keyed request."""
    assert make_home().decide(request_, stamp, 0.0) == expected


def test_repeat_gets_the_recorded_answer():
    """A repeat of a finished request is answered from the ledger."""
    home = make_home()
    run(home)
    assert home.decide(REPEAT, OWN, 1.0) == Replay(ANSWER)
    assert home.decide_forwarded(REPEAT, OWN, 1.0) == Replay(ANSWER)


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
def test_repeat_without_a_recorded_answer(answer, verdict, expected):
    """A repeat whose answer is not kept never runs again."""
    home = make_home()
    run(home, answer=answer, verdict=verdict)
    assert home.decide(REPEAT, OWN, 1.0) == Refuse(expected.refusal())


def test_repeat_of_a_request_in_progress():
    """A repeat doesn't run beside its first try, waiting or started."""
    home = make_home()
    keyed = home.decide(KEYED, OWN, 0.0).keyed
    refusal = Refuse(Exit.IN_PROGRESS.refusal())
    assert home.decide(REPEAT, OWN, 0.0) == refusal
    assert keyed.start()
    assert home.decide(REPEAT, OWN, 0.0) == refusal


def test_repeat_runs_what_never_ran():
    """A repeat runs where the ledger knows that no earlier try did."""
    home = make_home()
    home.decide(KEYED, OWN, 0.0).keyed.release()
    run(home, REPEAT)


def test_holder_of_an_old_claim_changes_nothing():
    """A paused holder of a released claim can't touch the claim after it."""
    home = make_home()
    old = home.decide(KEYED, OWN, 0.0).keyed
    old.release()
    new = home.decide(REPEAT, OWN, 0.0).keyed
    assert not old.start()
    assert new.start()
    old.release()
    old.finish(Verdict.NOT_RUN, None, 0.0)
    assert not old.revert_start()
    assert home.decide(REPEAT, OWN, 0.0) == Refuse(Exit.IN_PROGRESS.refusal())


@mark.parametrize(
    ("request_", "expected"),
    [(REPEAT, Exit.OUTCOME_FORGOTTEN), (KEYED, Exit.STAMP_OLD)],
)
def test_dropped_entries_are_never_run_again(request_, expected):
    """Below the watermark of dropped entries nothing runs."""
    home = make_home()
    run(home)
    home.expire(ENTRY_TTL_S + 1)
    assert home.decide(request_, OWN, ENTRY_TTL_S + 1) == Refuse(expected.refusal())


def test_ledger_is_bounded():
    """A full ledger drops finished entries first and refuses without any."""
    home = make_home(capacity=2)
    for sequence in (1, 2, 3):
        run(home, stamp=Stamp(1, 3, 77, sequence))
    assert len(home.ledger.entries) == 2
    assert home.decide(REPEAT, Stamp(1, 3, 77, 1), 0.0) == Refuse(
        Exit.OUTCOME_FORGOTTEN.refusal()
    )
    ledger = Ledger(target=3, tenure=1, capacity=1)
    assert ledger.claim(Identity(1, "a"), 0.0) is ClaimResult.GRANTED
    assert ledger.claim(Identity(2, "b"), 0.0) is ClaimResult.FULL


def test_recorded_answers_are_bounded(monkeypatch):
    """The oldest answers are dropped when all together grow too large."""
    monkeypatch.setattr("balsamtide.requests.ledger.MAX_TOTAL_ANSWER_BYTES", 10)
    home = make_home()
    for sequence in (1, 2, 3):
        run(home, stamp=Stamp(1, 3, 77, sequence))
    kept = [entry.answer is not None for entry in home.ledger.entries.values()]
    assert kept == [False, False, True]
    assert home.ledger.answer_bytes <= 10


def test_closed_tenure_lives_on_at_the_successor():
    """The successor replays what ran and runs what did not, once."""
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
    with raises(ValueError, match="was taken"):
        old.ledger.snapshot(0.0)
    assert new.adopt(snapshot, 0.0)
    assert not new.adopt(snapshot, 0.0)
    assert new.decide(REPEAT, OWN, 1.0) == Replay(ANSWER)
    run(new, replace(REPEAT, key="w"))
    assert new.decide(replace(REPEAT, key="s"), OWN, 1.0) == Refuse(
        Exit.OUTCOME_UNKNOWN.refusal()
    )


def test_closure_points_to_the_successor():
    """A repeat follows the announced closure of its tenure."""
    home = make_home(tenure=88, target=4)
    home.record_closure(TenureClosed("i", 1, 1, 3, 77, 9))
    assert home.decide(REPEAT, OWN, 0.0) == ForwardToHome((9,), OWN)
    home.record_closure(TenureClosed("i", 1, 1, 3, 77, 4))
    assert home.decide(REPEAT, OWN, 0.0) == Refuse(Exit.TENURE_GONE.refusal())


def test_closing_home_adopts_nothing():
    """An agent that stops is no successor."""
    old, new = make_home(), make_home(tenure=88, target=4)
    old.close()
    new.close()
    assert not new.adopt(old.ledger.snapshot(0.0), 0.0)
