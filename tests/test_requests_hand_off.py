"""Tests of the hand-off over grpclib, in virtual time."""

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
from balsamtide.requests.hand_off_client import _ConcurrentOffers, _open
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
from tests.fakes_hand_off import PEER_TARGET, FakeHost, RecordingWriter, chunks, serving
from tests.fakes_requests import make_request

# Targets: PEER_TARGET is the fake peer, 8 an agent with a closed port, 9 has no agent.
HEAD = RequestHead("POST", "/marks", ((b"a", b"b"),))
FACTS = make_request("r", deadline=100.0)


def run(scenario, host):
    """Run ``scenario`` with a client of ``host`` in virtual time."""

    async def main():
        async with serving(host) as client:
            return await scenario(client)

    # Sockets are real: time jumps only after 5 ms without activity.
    return trio.run(main, clock=MockClock(autojump_threshold=0.005))


def hand_off(
    host, body=(b"ab", b"cd"), facts=FACTS, keyed=None, targets=(PEER_TARGET,)
):
    """Hand off one request; return the outcome, the answer and the runner."""

    async def scenario(client):
        answer = RecordingWriter()
        runner = client.runner(targets, keyed)
        outcome = await runner.run(facts, HEAD, chunks(*body), answer)
        return outcome, answer, runner

    return run(scenario, host)


def claim():
    """Return a claim in a new ledger."""
    ledger = Ledger(target=1, tenure=5)
    ledger.claim(Identity(1, "k"), 0.0)
    return KeyedRun(ledger, Identity(1, "k"), ledger.last_claim)


def state(keyed):
    """Return the state of the entry of a claim, None if there is none."""
    entry = keyed.ledger.get(keyed.identity)
    return entry and entry.state


def test_request_runs_at_the_peer():
    """A granted request runs at the peer and its answer is returned completely."""
    host = FakeHost()
    outcome, answer, runner = hand_off(host)
    assert outcome == Outcome(verdict=Verdict.RAN, status=200, service_time_s=0.5)
    assert (answer.status, answer.headers) == (200, ((b"x", b"y"),))
    assert answer.body == b"abcd"
    assert runner.target == PEER_TARGET
    ((facts, head),) = host.runs
    assert head == HEAD
    assert facts.caller == FACTS.caller


def test_deadline_is_sent_as_remaining_time():
    """The peer computes its deadline from the remaining time."""
    host = FakeHost()
    hand_off(host, facts=replace(FACTS, deadline=7.0))
    assert 0 < host.runs[0][0].deadline <= 7.0


def test_large_answers_are_streamed():
    """An answer larger than all flow control windows arrives completely."""

    async def handle(facts, body, answer):
        await answer.start(200, ())
        for _ in range(100):
            await answer.write(b"x" * 100_000)
        return Outcome(verdict=Verdict.RAN, status=200)

    outcome, answer, _ = hand_off(FakeHost(handle))
    assert outcome.verdict is Verdict.RAN
    assert len(answer.body) == 10_000_000


def test_denied_request_does_not_run():
    """Without a grant the request doesn't run and its claim isn't started."""
    host = FakeHost()
    host.is_granting = False
    keyed = claim()
    outcome, answer, runner = hand_off(host, keyed=keyed)
    assert outcome.verdict is Verdict.NOT_RUN
    assert outcome.reason == Exit.NO_GRANT.reason
    assert runner.error.verdict is Verdict.NOT_RUN
    assert not host.runs and not answer.status
    assert state(keyed) is EntryState.CLAIMED


def test_peer_without_agent_is_skipped():
    """A target without an agent is skipped."""
    outcome, _, runner = hand_off(FakeHost(), targets=(9, PEER_TARGET))
    assert outcome.verdict is Verdict.RAN
    assert len(runner.attempts) == 1


def test_offer_on_a_closed_connection_is_not_granted():
    """An offer on a connection that has just closed ends without a grant."""
    host = FakeHost()
    keyed = claim()

    async def scenario(client):
        await client.runner((PEER_TARGET,)).run(
            FACTS, HEAD, chunks(), RecordingWriter()
        )
        channel = client.channel(PEER_TARGET)
        # As grpclib does when a connection closes; a write then raises AttributeError.
        del channel._protocol.connection._transport
        runner = client.runner((PEER_TARGET,), keyed)
        return await runner.run(FACTS, HEAD, chunks(), RecordingWriter())

    outcome = run(scenario, host)
    assert outcome.verdict is Verdict.NOT_RUN
    assert state(keyed) is EntryState.CLAIMED
    assert len(host.runs) == 1


def test_one_of_several_grants_is_used():
    """Of several simultaneous grants only the first is used."""

    class AlwaysGrantingHost(FakeHost):
        def use_grant(self, request_id):
            return True

    async def scenario(client):
        for number in (4, 5, 6):
            client.endpoints[number] = client.endpoints[PEER_TARGET]
        for _ in range(20):
            runner = client.runner((4, PEER_TARGET, 5, 6))
            outcome = await runner.run(FACTS, HEAD, chunks(b"x"), RecordingWriter())
            assert outcome.verdict is Verdict.RAN
        await trio.sleep(1)
        return len(host.runs)

    host = AlwaysGrantingHost()
    assert run(scenario, host) == 20
    offers = _ConcurrentOffers()
    offers.record_grant(4)
    with raises(GrantError):
        offers.record_grant(5)


def test_unreachable_peer_gives_no_grant():
    """An offer to a closed port ends with ``NOT_RUN``."""

    async def scenario(client):
        client.endpoints[8] = Endpoint("127.0.0.1", 1)
        runner = client.runner((8,))
        return await runner.run(FACTS, HEAD, chunks(), RecordingWriter())

    assert run(scenario, FakeHost()).verdict is Verdict.NOT_RUN


def test_start_is_recorded_before_the_run():
    """The home's ledger has recorded the start when the peer runs the request."""
    keyed = claim()
    seen = []

    async def handle(facts, body, answer):
        seen.append(state(keyed))
        return Outcome(verdict=Verdict.RAN, status=200)

    hand_off(FakeHost(handle), keyed=keyed)
    assert seen == [EntryState.STARTED]


def test_closed_ledger_prevents_the_start():
    """A grant received after the tenure was closed is not used."""
    keyed = claim()
    keyed.ledger.close()
    host = FakeHost()
    outcome, _, _ = hand_off(host, keyed=keyed)
    assert outcome.verdict is Verdict.NOT_RUN
    assert not host.runs
    assert host.withdrawn == ["r"]


def test_not_run_at_the_peer_reverts_the_start():
    """A request that didn't run at the peer can be started again."""

    async def handle(facts, body, answer):
        return Exit.CONNECT_REFUSED.outcome()

    keyed = claim()
    outcome, _, _ = hand_off(FakeHost(handle), keyed=keyed)
    assert outcome.verdict is Verdict.NOT_RUN
    assert state(keyed) is EntryState.CLAIMED


def test_keepalives_allow_slow_answers():
    """Keep-alives keep a hand-off open beyond the silence timeout."""

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
def test_silent_peer_times_out(has_answered, verdict, monkeypatch):
    """A peer that is silent after the run message times out with the right verdict."""

    async def send_nothing(self):
        await trio.sleep_forever()

    monkeypatch.setattr(
        "balsamtide.requests.hand_off_server.StreamAnswerWriter.send_keepalives",
        send_nothing,
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
    [(False, Exit.PEER_LOST_AFTER_RUN_MESSAGE), (True, Exit.PEER_LOST_IN_ANSWER)],
)
def test_lost_connection_gives_a_verdict(has_answered, exit_):
    """A connection that breaks after the run message gives the right verdict."""

    async def scenario(client):
        async def handle(facts, body, answer):
            if has_answered:
                await answer.start(200, ())
                await trio.sleep(0.1)
            client.channels[PEER_TARGET][1]._protocol.connection._transport.abort()
            await trio.sleep_forever()

        host.handler = handle
        runner = client.runner((PEER_TARGET,))
        return await runner.run(FACTS, HEAD, chunks(), RecordingWriter())

    host = FakeHost()
    outcome = run(scenario, host)
    assert (outcome.verdict, outcome.reason) == (exit_.verdict, exit_.reason)


def test_cancellation_reaches_the_peer():
    """Cancelling the runner cancels the request at the peer."""

    async def handle(facts, body, answer):
        await trio.sleep_forever()

    async def scenario(client):
        with trio.move_on_after(2):
            runner = client.runner((PEER_TARGET,))
            await runner.run(FACTS, HEAD, chunks(), RecordingWriter())
        await trio.sleep(0.1)
        return list(host.cancelled)

    host = FakeHost(handle)
    assert run(scenario, host) == ["r"]


def test_unused_grant_is_withdrawn():
    """A reservation that the sender doesn't use expires and is withdrawn."""

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

        return await aio_as_trio(exchange)(client.exchange_rpc(PEER_TARGET))

    host = FakeHost()
    reply = run(scenario, host)
    assert reply.reason == Exit.GRANT_EXPIRED.reason
    assert host.withdrawn == ["r"] and not host.runs


def test_grant_expires_on_both_sides():
    """Neither side uses a grant after its deadline or more than once."""
    sender = HandOffSender(FACTS, 0.0)
    receiver = HandOffReceiver(sender.offer(0.0), 10.0)
    # Transit takes no time; the receiver's clock is ten seconds ahead.
    sender.accept_grant(receiver.issue_grant(10.02))
    assert sender.grant_deadline + 10.0 <= receiver.grant_deadline + 1e-9
    assert sender.grant_deadline == approx(0.02 + GRANT_TTL_S, abs=2e-6)
    assert not sender.use_grant(0.02 + GRANT_TTL_S) and not receiver.use_grant(
        10.02 + GRANT_TTL_S
    )
    assert sender.use_grant(0.03) and not sender.use_grant(0.03)
    assert receiver.use_grant(10.03) and not receiver.use_grant(10.03)


def test_offer_waits_only_for_its_timeout():
    """The receiver keeps an offer no longer than its sender waits."""
    offer = Offer(HandOffSender(FACTS, 0.0).offer(0.0).metadata, 5000)
    assert HandOffReceiver(offer, 10.0).wait_deadline == 10.005


RETRY = replace(FACTS, key="k", attempt=2)


def forward_to_home(host, retry=RETRY, tenure=77):
    """Forward a retry to its home."""

    async def scenario(client):
        answer = RecordingWriter()
        decision = ForwardToHome((9, PEER_TARGET), Stamp(1, PEER_TARGET, tenure, 4))
        runner = client.home_runner(decision)
        outcome = await runner.run(retry, HEAD, chunks(b"body"), answer)
        return outcome, answer

    return run(scenario, host)


def test_retry_runs_at_home_once():
    """A retry of a request that never ran runs at its home once.

    The second retry is refused, since ``FakeHost`` records no answer.
    """
    host = FakeHost()
    outcome, answer = forward_to_home(host)
    assert outcome.verdict is Verdict.RAN and answer.body == b"body"
    outcome, answer = forward_to_home(host)
    assert len(host.runs) == 1
    assert outcome.reason == Exit.ANSWER_NOT_KEPT.reason


def test_retry_is_replayed_from_home():
    """A retry of a request that ran gets the recorded answer from the peer."""
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


def test_retry_with_a_lost_ledger_gets_may_have_run():
    """A retry whose ledger is lost doesn't run and gets ``MAY_HAVE_RUN``."""
    host = FakeHost()
    outcome, _ = forward_to_home(host, tenure=12)
    assert outcome.verdict is Verdict.MAY_HAVE_RUN
    assert not host.runs


# One empty chunk, and three chunks of up to CHUNK_ENTRIES = 256.
@mark.parametrize("entries", [0, 600])
def test_ledger_moves_to_the_successor(entries):
    """A closed ledger is transferred completely and adopted only once."""
    old = Home(1, Ledger(target=1, tenure=5))
    for sequence in range(entries):
        old.ledger.claim(Identity(sequence, "k"), 0.0)
        old.ledger.start(Identity(sequence, "k"), old.ledger.last_claim)
    old.close()

    async def scenario(client):
        snapshot = old.ledger.snapshot(0.0)
        return [await client.send_ledger(PEER_TARGET, snapshot) for _ in range(2)]

    host = FakeHost()
    assert run(scenario, host) == [TransferResult.ADOPTED, TransferResult.REFUSED]
    assert len(host.home.adopted[5].entries) == entries


def test_ledger_is_not_sent_to_a_closed_port():
    """A transfer to a closed port is ``NOT_SENT``, which allows another candidate."""

    async def scenario(client):
        client.endpoints[8] = Endpoint("127.0.0.1", 1)
        ledger = Ledger(target=1, tenure=5)
        ledger.close()
        return await client.send_ledger(8, ledger.snapshot(0.0))

    assert run(scenario, FakeHost()) is TransferResult.NOT_SENT


def test_planned_stop_skips_unreachable_candidates():
    """A stopping agent tries candidates in order and announces the successor."""
    old = Home(1, Ledger(target=1, tenure=5))
    old.close()

    async def scenario(client):
        client.endpoints[8] = Endpoint("127.0.0.1", 1)
        return await transfer_ledgers(
            client, old, (9, 8, PEER_TARGET), instance="i", incarnation=2
        )

    host = FakeHost()
    (announcement,) = run(scenario, host)
    assert announcement == TenureClosed("i", 2, 1, 1, 5, PEER_TARGET)
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
def test_at_most_one_successor(results, successor, tried):
    """After a transfer that may have arrived no other candidate is tried."""
    selection = SuccessorSelection((2, 3))
    count = 0
    while selection.candidate is not None:
        selection.record(results[count])
        count += 1
    assert (selection.successor, count) == (successor, tried)
