"""The hand-off over grpclib, in virtual time."""

from asyncio import sleep
from dataclasses import replace

import trio
from pytest import approx, mark, raises
from trio.testing import MockClock
from trio_asyncio import aio_as_trio

from balsamtide.protocol.messages import Endpoint, TenureClosed
from balsamtide.protocol.verdict import Verdict
from balsamtide.requests.errors import GrantError
from balsamtide.requests.exits import Exit
from balsamtide.requests.hand_off import GRANT_TTL_S, HandOffReceiver, HandOffSender
from balsamtide.requests.hand_off_client import _GrantRace, _open
from balsamtide.requests.home import ForwardToHome, Home, KeyedRun
from balsamtide.requests.ledger import (
    Entry,
    EntryState,
    Identity,
    Ledger,
    RecordedAnswer,
)
from balsamtide.requests.ledger_transfer import transfer_ledgers
from balsamtide.requests.messages import Offer
from balsamtide.requests.model import Outcome
from balsamtide.requests.runner import RequestHead
from balsamtide.requests.stamp import Stamp
from balsamtide.requests.succession import SuccessorSelection, TransferResult
from tests.fakes_hand_off import NUMBER, FakeHost, RecordingWriter, chunks, serving
from tests.fakes_requests import make_request

HEAD = RequestHead("POST", "/marks", ((b"a", b"b"),))
FACTS = make_request("r", deadline=100.0)


def run(scenario, host):
    """Run a scenario against a host in virtual time."""

    async def main():
        async with serving(host) as client:
            return await scenario(client)

    return trio.run(main, clock=MockClock(autojump_threshold=0.005))


def hand_off(host, body=(b"ab", b"cd"), facts=FACTS, keyed=None, targets=(NUMBER,)):
    """Hand one request off and return outcome, answer and runner."""

    async def scenario(client):
        answer = RecordingWriter()
        runner = client.runner(targets, keyed)
        outcome = await runner.run(facts, HEAD, chunks(*body), answer)
        return outcome, answer, runner

    return run(scenario, host)


def claim():
    """Return a claim in a fresh ledger."""
    ledger = Ledger(target=1, tenure=5)
    ledger.claim(Identity(1, "k"), 0.0)
    return KeyedRun(ledger, Identity(1, "k"), ledger.last_claim)


def state(keyed):
    """Return the state of a claim."""
    entry = keyed.ledger.get(keyed.identity)
    return entry and entry.state


def test_request_and_answer_pass_through():
    """A granted request runs at the peer and its answer comes back whole."""
    host = FakeHost()
    outcome, answer, runner = hand_off(host)
    assert outcome == Outcome(verdict=Verdict.RAN, status=200, service_time_s=0.5)
    assert (answer.status, answer.headers) == (200, ((b"x", b"y"),))
    assert answer.body == b"abcd"
    assert runner.target == NUMBER
    ((facts, head),) = host.runs
    assert head == HEAD
    assert facts.caller == FACTS.caller


def test_remaining_time_becomes_a_local_deadline():
    """The peer gets the time that remains, never a clock reading."""
    host = FakeHost()
    hand_off(host, facts=replace(FACTS, deadline=7.0))
    assert 0 < host.runs[0][0].deadline <= 7.0


def test_large_answers_are_streamed():
    """An answer beyond every window arrives whole."""

    async def handle(facts, body, answer):
        await answer.start(200, ())
        for _ in range(100):
            await answer.write(b"x" * 100_000)
        return Outcome(verdict=Verdict.RAN, status=200)

    outcome, answer, _ = hand_off(FakeHost(handle))
    assert outcome.verdict is Verdict.RAN
    assert len(answer.body) == 10_000_000


def test_denied_request_stays():
    """Without a grant nothing runs and the claim is not started."""
    host = FakeHost()
    host.grants = False
    keyed = claim()
    outcome, answer, runner = hand_off(host, keyed=keyed)
    assert outcome.verdict is Verdict.NOT_RUN
    assert outcome.reason == Exit.NO_GRANT.reason
    assert runner.error.verdict is Verdict.NOT_RUN
    assert not host.runs and not answer.status
    assert state(keyed) is EntryState.CLAIMED


def test_next_peer_is_asked():
    """A peer without an agent is passed over."""
    outcome, _, runner = hand_off(FakeHost(), targets=(9, NUMBER))
    assert outcome.verdict is Verdict.RAN
    assert len(runner.attempts) == 1


def test_connection_that_closes_under_an_offer_grants_nothing():
    """A call on a connection that just closed is a peer that did not grant."""
    host = FakeHost()
    keyed = claim()

    async def scenario(client):
        await client.runner((NUMBER,)).run(FACTS, HEAD, chunks(), RecordingWriter())
        channel = client.channel(NUMBER)
        del channel._protocol.connection._transport
        runner = client.runner((NUMBER,), keyed)
        return await runner.run(FACTS, HEAD, chunks(), RecordingWriter())

    outcome = run(scenario, host)
    assert outcome.verdict is Verdict.NOT_RUN
    assert state(keyed) is EntryState.CLAIMED
    assert len(host.runs) == 1


def test_one_of_several_grants_is_used():
    """Of grants that come together one is used, and a later one never is."""

    class AlwaysGrantingHost(FakeHost):
        def use_grant(self, request_id):
            return True

    async def scenario(client):
        for number in (4, 5, 6):
            client.endpoints[number] = client.endpoints[NUMBER]
        for _ in range(20):
            runner = client.runner((4, NUMBER, 5, 6))
            outcome = await runner.run(FACTS, HEAD, chunks(b"x"), RecordingWriter())
            assert outcome.verdict is Verdict.RAN
        await trio.sleep(1)
        return len(host.runs)

    host = AlwaysGrantingHost()
    assert run(scenario, host) == 20
    race = _GrantRace()
    race.record_winner(4)
    with raises(GrantError):
        race.record_winner(5)


def test_unreachable_peer_grants_nothing():
    """A peer whose port is closed leaves the request not run."""

    async def scenario(client):
        client.endpoints[8] = Endpoint("127.0.0.1", 1)
        runner = client.runner((8,))
        return await runner.run(FACTS, HEAD, chunks(), RecordingWriter())

    assert run(scenario, FakeHost()).verdict is Verdict.NOT_RUN


def test_start_is_recorded_before_the_run():
    """The home's ledger holds the start when the peer begins."""
    keyed = claim()
    seen = []

    async def handle(facts, body, answer):
        seen.append(state(keyed))
        return Outcome(verdict=Verdict.RAN, status=200)

    hand_off(FakeHost(handle), keyed=keyed)
    assert seen == [EntryState.STARTED]


def test_closed_ledger_starts_nothing():
    """A grant that comes after the tenure was closed is not used."""
    keyed = claim()
    keyed.ledger.close()
    host = FakeHost()
    outcome, _, _ = hand_off(host, keyed=keyed)
    assert outcome.verdict is Verdict.NOT_RUN
    assert not host.runs
    assert host.withdrawn == ["r"]


def test_not_run_at_the_peer_frees_the_start():
    """A run that the peer's target refused can be tried elsewhere."""

    async def handle(facts, body, answer):
        return Exit.CONNECT_REFUSED.outcome()

    keyed = claim()
    outcome, _, _ = hand_off(FakeHost(handle), keyed=keyed)
    assert outcome.verdict is Verdict.NOT_RUN
    assert state(keyed) is EntryState.CLAIMED


def test_slow_answers_are_waited_for():
    """Signs of life keep a hand-off open as long as the deadline allows."""

    async def handle(facts, body, answer):
        await trio.sleep(60)
        await answer.start(200, ())
        return Outcome(verdict=Verdict.RAN, status=200)

    outcome, answer, _ = hand_off(FakeHost(handle))
    assert outcome.verdict is Verdict.RAN
    assert answer.status == 200


@mark.parametrize(
    ("has_answered", "verdict"),
    [(False, Verdict.MAY_HAVE_RUN), (True, Verdict.RAN)],
)
def test_peer_that_goes_silent(has_answered, verdict, monkeypatch):
    """Silence after the run message is found and gets a true verdict."""

    async def silent(self):
        await trio.sleep_forever()

    monkeypatch.setattr(
        "balsamtide.requests.hand_off_server.StreamAnswerWriter.send_keepalives", silent
    )

    async def handle(facts, body, answer):
        if has_answered:
            await answer.start(200, ())
        await trio.sleep_forever()

    host = FakeHost(handle)
    outcome, _, _ = hand_off(host)
    assert outcome.verdict is verdict
    assert not outcome.is_complete
    assert host.cancelled == ["r"]


@mark.parametrize(
    ("has_answered", "exit_"),
    [(False, Exit.PEER_LOST_AFTER_RUN), (True, Exit.PEER_LOST_IN_ANSWER)],
)
def test_peer_that_dies(has_answered, exit_):
    """A connection that breaks after the run message gets a true verdict."""

    async def scenario(client):
        async def handle(facts, body, answer):
            if has_answered:
                await answer.start(200, ())
                await trio.sleep(0.1)
            client.channels[NUMBER][1]._protocol.connection._transport.abort()
            await trio.sleep_forever()

        host.handle = handle
        runner = client.runner((NUMBER,))
        return await runner.run(FACTS, HEAD, chunks(), RecordingWriter())

    host = FakeHost()
    outcome = run(scenario, host)
    assert (outcome.verdict, outcome.reason) == (exit_.verdict, exit_.reason)


def test_cancellation_reaches_the_peer():
    """A caller that gives up ends the run at the peer."""

    async def handle(facts, body, answer):
        await trio.sleep_forever()

    async def scenario(client):
        with trio.move_on_after(2):
            runner = client.runner((NUMBER,))
            await runner.run(FACTS, HEAD, chunks(), RecordingWriter())
        await trio.sleep(0.1)
        return list(host.cancelled)

    host = FakeHost(handle)
    assert run(scenario, host) == ["r"]


def test_unused_grant_is_withdrawn():
    """A reservation is freed when the sender doesn't use it."""

    async def scenario(client):
        async def exchange(method):
            async with _open(method) as stream:
                now = trio.current_time()
                await stream.send_message(HandOffSender(FACTS, now).offer(now))
                await stream.recv_message()
                await sleep(GRANT_TTL_S * 2)
                reply = await stream.recv_message()
                await stream.end()
                return reply

        return await aio_as_trio(exchange)(client.exchange(NUMBER))

    host = FakeHost()
    reply = run(scenario, host)
    assert reply.reason == Exit.GRANT_EXPIRED.reason
    assert host.withdrawn == ["r"] and not host.runs


def test_grant_is_void_on_both_sides():
    """Neither side uses a grant after its deadline, or twice."""
    sender = HandOffSender(FACTS, 0.0)
    receiver = HandOffReceiver(sender.offer(0.0), 10.0)
    # The way takes no time here; the receiver's clock shows ten seconds more.
    sender.accept_grant(receiver.issue_grant(10.02))
    assert sender.grant_deadline + 10.0 <= receiver.grant_deadline + 1e-9
    assert sender.grant_deadline == approx(0.02 + GRANT_TTL_S, abs=2e-6)
    assert not sender.use_grant(0.02 + GRANT_TTL_S) and not receiver.use_grant(
        10.02 + GRANT_TTL_S
    )
    assert sender.use_grant(0.03) and not sender.use_grant(0.03)
    assert receiver.use_grant(10.03) and not receiver.use_grant(10.03)


def test_offer_waits_no_longer_than_asked():
    """The receiver keeps an offer only as long as its sender waits."""
    offer = Offer(HandOffSender(FACTS, 0.0).offer(0.0).metadata, 5000)
    assert HandOffReceiver(offer, 10.0).wait_deadline == 10.005


REPEAT = replace(FACTS, key="k", attempt=2)


def forward_to_home(host, repeat=REPEAT, tenure=77):
    """Pass a repeat to its home."""

    async def scenario(client):
        answer = RecordingWriter()
        decision = ForwardToHome((9, NUMBER), Stamp(1, NUMBER, tenure, 4))
        runner = client.home_runner(decision)
        outcome = await runner.run(repeat, HEAD, chunks(b"body"), answer)
        return outcome, answer

    return run(scenario, host)


def test_repeat_runs_at_home_once():
    """A repeat that never ran runs at its home, and the next one doesn't."""
    host = FakeHost()
    outcome, answer = forward_to_home(host)
    assert outcome.verdict is Verdict.RAN and answer.body == b"body"
    outcome, answer = forward_to_home(host)
    assert len(host.runs) == 1
    assert outcome.reason == Exit.ANSWER_NOT_KEPT.reason


def test_repeat_is_replayed_from_home():
    """A repeat that ran gets the recorded answer through the peer."""
    host = FakeHost()
    host.home.ledger.entries[Identity(4, "k")] = Entry(
        state=EntryState.DONE,
        verdict=Verdict.RAN,
        answer=RecordedAnswer(201, ((b"x", b"z"),), b"kept"),
    )
    outcome, answer = forward_to_home(host)
    assert (outcome.verdict, outcome.reason) == (Verdict.RAN, "replayed")
    assert (answer.status, answer.body) == (201, b"kept")
    assert not host.runs


def test_lost_tenure_may_have_run():
    """A repeat of a tenure that nobody holds is not run again."""
    host = FakeHost()
    outcome, _ = forward_to_home(host, tenure=12)
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert not host.runs


@mark.parametrize("entries", [0, 600])
def test_ledger_moves_to_the_successor(entries):
    """A closed ledger arrives whole, is adopted once and then answers."""
    old = Home(1, Ledger(target=1, tenure=5))
    for sequence in range(entries):
        old.ledger.claim(Identity(sequence, "k"), 0.0)
        old.ledger.start(Identity(sequence, "k"), old.ledger.last_claim)
    old.close()

    async def scenario(client):
        snapshot = old.ledger.snapshot(0.0)
        return [await client.send_ledger(NUMBER, snapshot) for _ in range(2)]

    host = FakeHost()
    assert run(scenario, host) == [TransferResult.ADOPTED, TransferResult.REFUSED]
    assert len(host.home.adopted[5].entries) == entries


def test_unreachable_successor_got_nothing():
    """A ledger for a closed port was not sent, so another candidate is allowed."""

    async def scenario(client):
        client.endpoints[8] = Endpoint("127.0.0.1", 1)
        ledger = Ledger(target=1, tenure=5)
        ledger.close()
        return await client.send_ledger(8, ledger.snapshot(0.0))

    assert run(scenario, FakeHost()) is TransferResult.NOT_SENT


def test_planned_stop_passes_unreachable_candidates():
    """A stopping agent tries candidates in turn and announces the one that adopted."""
    old = Home(1, Ledger(target=1, tenure=5))
    old.close()

    async def scenario(client):
        client.endpoints[8] = Endpoint("127.0.0.1", 1)
        return await transfer_ledgers(
            client, old, (9, 8, NUMBER), instance="i", incarnation=2
        )

    host = FakeHost()
    (announcement,) = run(scenario, host)
    assert announcement == TenureClosed("i", 2, 1, 1, 5, NUMBER)
    assert 5 in host.home.adopted


@mark.parametrize(
    ("results", "successor", "tried"),
    [
        ((TransferResult.ADOPTED,), 2, 1),
        ((TransferResult.UNSURE,), 2, 1),
        ((TransferResult.REFUSED, TransferResult.ADOPTED), 3, 2),
        ((TransferResult.NOT_SENT, TransferResult.UNSURE), 3, 2),
        ((TransferResult.REFUSED, TransferResult.NOT_SENT), None, 2),
    ],
)
def test_one_successor_at_most(results, successor, tried):
    """After a transfer that may have arrived no other candidate is tried."""
    selection = SuccessorSelection((2, 3))
    count = 0
    while selection.candidate is not None:
        selection.record(results[count])
        count += 1
    assert (selection.successor, count) == (successor, tried)
