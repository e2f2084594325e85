"""Tests of exceptions in request handling."""

from trio import run

from balsamtide.agent.events import REQUEST_FAULTED
from balsamtide.agent.flow_events import RequestOpened, StreamKey
from balsamtide.agent.request_handler import RequestHandler
from balsamtide.agent.request_stream import RequestStream
from balsamtide.config.model import Service
from balsamtide.protocol.messages import Endpoint
from balsamtide.requests.home import RunHere
from balsamtide.telemetry.memory_sink import MemorySink

HEADERS = ((b":method", b"GET"), (b":path", b"/x"))


class FailingExecutor:
    """Executor that raises."""

    async def execute(self, job, *, stall_s):
        """Raise an unexpected exception."""
        raise AttributeError("injected")


class RecordingFlows:
    """Records how requests were finished."""

    def __init__(self):
        self.ended = []

    async def finish(self, key, *, is_aborted):
        """Record the call."""
        self.ended.append((key, is_aborted))


class NoKeyedRequests:
    """Runs every request without a ledger claim."""

    def issue_stamp(self):
        """Return a stamp."""
        return b"stamp"

    def decide(self, facts, encoded_stamp, now):
        """Return the decision to run the request here."""
        return RunHere(None)


def test_exception_aborts_only_its_request():
    """An exception in one request is reported, aborts it and is not propagated."""
    flows = RecordingFlows()
    sink = MemorySink()
    handler = RequestHandler(
        service_name="s",
        service=lambda: Service(number=1),
        version=lambda: 1,
        zone=lambda name: "",
        new_request_id=lambda: "r-1",
        flows=flows,
        executor=FailingExecutor(),
        keyed=NoKeyedRequests(),
        sink=sink,
    )
    opened = RequestOpened(
        key=StreamKey(1, 0),
        caller=Endpoint("10.0.0.1", 1),
        headers=HEADERS,
        is_ended=True,
    )
    run(handler.handle, RequestStream(opened, 0.0))
    assert flows.ended[-1] == (StreamKey(1, 0), True)
    assert [event for event, _ in sink.events] == [REQUEST_FAULTED]
    assert handler.open_requests == 0
