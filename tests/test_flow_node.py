"""Tests of a raw-packet process: log, HTTP, startup loop and real daemons."""

import os
import signal
import subprocess
import sys
from base64 import b64encode
from contextlib import suppress
from dataclasses import replace
from json import dumps, loads
from random import Random
from time import monotonic, sleep

import pytest
from httpx import ConnectError, get
from trio import SocketStream, open_nursery, run, serve_tcp
from trio import sleep as trio_sleep
from trio.testing import memory_stream_pair

from balsamtide.clock import boot_time
from balsamtide.fleet.store import Listing, StoreError
from balsamtide.fleet.view import FleetView
from balsamtide.flow_node.balancer_runtime import BalancerRuntime
from balsamtide.flow_node.daemon import read_first_settings
from balsamtide.flow_node.http import HttpResponse
from balsamtide.flow_node.http_client import HttpClient
from balsamtide.flow_node.http_connection import HttpConnection
from balsamtide.flow_node.http_server import HttpServer, ServerResponse
from balsamtide.flow_node.node import STOP_MARGIN_S, FlowNode
from balsamtide.flow_node.settings import FlowSettingsError
from balsamtide.flow_node.settings_source import SettingsSource
from balsamtide.flow_node.startup_client import StartupClient
from balsamtide.flow_node.startup_loop import StartupLoop
from balsamtide.flows.events import FLOW_PLACED, FLOW_REFUSED
from balsamtide.flows.flow_balancer import FlowBalancer
from balsamtide.flows.metrics import ANSWER_SECONDS, PACKETS
from balsamtide.flows.placement import LeastLoadedPlacement
from balsamtide.platform.packets import WirePackets
from balsamtide.platform.settings import decode_settings
from balsamtide.platform.store import PlatformStore
from balsamtide.telemetry.line_metrics import render_lines_metrics
from balsamtide.telemetry.line_sink import BURST_LINES, LineSink
from balsamtide.transport.boot_time_clock import BootTimeClock
from bench.standins.flow_platform import (
    LoopbackStore,
    LoopbackTarget,
    call_once,
    configuration_document,
    settings_document,
    target_document,
)
from bench.standins.ports import EVERY_HOST, free_port
from tests.fakes_packets import make_gossip, make_view, syn_packet

SERVICE = "orders"
ADDRESS = ("198.18.0.1", 8443)
START_TIMEOUT_S = 20.0


@pytest.fixture
def pipe():
    """Yield a pipe with a non-blocking read end."""
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    for descriptor in (reader, writer):
        with suppress(OSError):
            os.close(descriptor)


def make_sink(pipe, clock=lambda: 5.0):
    """Return a sink that writes to a pipe."""
    return LineSink(
        instance="x", descriptor=pipe[1], clock=clock, wall_clock=lambda: 1.0
    )


def read_lines(pipe):
    """Return the decoded lines that are buffered in a pipe."""
    return [loads(line) for line in os.read(pipe[0], 10_000_000).splitlines()]


def test_events_are_json_lines(pipe):
    """An event is written as one JSON line with its fields."""
    sink = make_sink(pipe)
    sink.event(FLOW_PLACED, flow="f", target="t")
    sink.flush()
    (line,) = read_lines(pipe)
    assert (line["name"], line["instance"], line["target"]) == ("flow-placed", "x", "t")


def test_log_is_rate_limited(pipe):
    """Above the rate limit only warnings are written, with the count of lost lines."""
    sink = make_sink(pipe)
    for _ in range(int(BURST_LINES) + 50):
        sink.event(FLOW_PLACED, flow="f")
    # Forget the lines of the burst, so that the next line is the only one.
    sink.buffer.clear()
    sink.event(FLOW_REFUSED, flow="f", reason="no-route")
    sink.flush()
    (line,) = read_lines(pipe)
    assert (line["name"], line["dropped"]) == ("opening-refused", 50)


def test_log_never_blocks(pipe):
    """With a full pipe, the sink drops lines instead of blocking."""
    now = 0.0
    sink = make_sink(pipe, clock=lambda: now)
    for _ in range(20_000):
        now += 0.01
        sink.event(FLOW_PLACED, flow="f" * 50)
        sink.flush()
    assert sink.dropped > 0
    assert len(sink.buffer) < 300_000


def test_metrics_are_rendered(pipe):
    """Counters and histograms are rendered in the Prometheus text format."""
    sink = make_sink(pipe)
    sink.count(PACKETS, direction="to-agent")
    sink.observe(ANSWER_SECONDS, 0.02)
    text = render_lines_metrics(sink).decode()
    assert 'balsamtide_flow_packets_total{direction="to-agent"} 1' in text
    assert "balsamtide_flow_answer_seconds_count 1" in text


@pytest.mark.parametrize(
    ("response", "status"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 200),
        (b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n", 410),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 200),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no", None),
        (b"nonsense\r\n\r\n", None),
        (b"", None),
    ],
    ids=["body", "gone", "chunked", "truncated", "not-http", "closed"],
)
def test_http_responses_are_complete_or_raise(response, status):
    """A complete response is returned, a truncated or malformed one raises."""
    connection = HttpConnection("h")
    connection.request("/x")
    if status is None:
        with pytest.raises(StoreError):
            connection.receive(response)
            connection.receive(b"")
    else:
        assert connection.receive(response).status == status


def test_page_with_the_largest_value_is_read():
    """A page that is nearly full and ends with a value of the largest size is read."""
    entry = {"key": "k" * 200, "rev": 1, "created": 1, "lease": 0}
    small = entry | {"value": b64encode(bytes(2000)).decode()}
    largest = entry | {"value": b64encode(bytes(1_048_576)).decode()}
    page = dumps({"items": [*[small] * 499, largest], "morePages": True}).encode()
    connection = HttpConnection("h")
    connection.request("/x")
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(page)
    assert connection.receive(head + page).body == page


def test_http_server_keeps_connections_open():
    """Two requests on one connection get their own responses."""

    async def send_requests() -> list[bytes]:
        client, server = memory_stream_pair()
        responses = []
        listener = HttpServer(lambda path: ServerResponse(200, path.encode()))
        async with open_nursery() as nursery:
            nursery.start_soon(listener.serve, server)
            for path in ("/a", "/b"):
                await client.send_all(
                    f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode()
                )
                responses.append(await client.receive_some(4096))
            await client.aclose()
        return responses

    first, second = run(send_requests)
    assert first.endswith(b"/a")
    assert second.endswith(b"/b")


def test_settings_file_changes_are_detected(tmp_path):
    """A rewritten file counts as changed once, and a missing file raises nothing."""
    path = tmp_path / "node.yaml"
    path.write_text("{}")
    source = SettingsSource(str(path), lambda _: None)
    assert not source.has_changed()
    path.write_text('{"a": 1}')
    assert source.has_changed()
    assert not source.has_changed()
    path.unlink()
    assert source.has_changed()


class ScriptedStore(PlatformStore):
    """Store that returns a given listing or raises a given error."""

    def __init__(self, listing):
        self.listing = listing

    async def read_all(self):
        """Return the listing or raise the error."""
        if isinstance(self.listing, StoreError):
            raise self.listing
        return self.listing

    async def watch(self, revision):
        """Raise an error, since nothing changes."""
        raise StoreError("down")


VIEW = make_view()
LISTING = Listing(9, VIEW.configuration, tuple(VIEW.targets.values()))


def make_runtime(pipe, *, ready=1):
    """Return a balancer's runtime on loopback without a view."""
    ports = {"packets": free_port(), "ready": ready, "inner": free_port()}
    document = settings_document(
        "127.0.0.1", ports=ports, store="127.0.0.1:1", seeds=[], service=""
    )
    settings = decode_settings(dumps(document).encode())
    sink = make_sink(pipe, clock=monotonic)
    # The startup loop uses the clock of the machine.
    gossip = make_gossip(1, VIEW, now=boot_time())
    gossip.view = FleetView()
    # No digests are sent during the test.
    gossip.digest_at = float("inf")
    balancer = FlowBalancer(
        host=1,
        packets=WirePackets(),
        gossip=gossip,
        placement=LeastLoadedPlacement(zone="z", random=Random(1)),
        sink=sink,
    )
    return BalancerRuntime(
        processor=balancer, settings=settings, gossip=gossip, sink=sink
    )


@pytest.mark.parametrize(
    ("listing", "expected_flows"),
    [(LISTING, 1), (StoreError("down"), 0), (Listing(3, None, ()), 0)],
    ids=["read", "store-down", "empty-store"],
)
def test_startup_loop_handles_packets_during_imports(pipe, listing, expected_flows):
    """Packets that arrive during imports are handled if the store could be read."""
    runtime = make_runtime(pipe)
    loop = StartupLoop(
        runtime,
        client=StartupClient(("127.0.0.1", 1)),
        store=ScriptedStore(listing),
        timeout_s=1.0,
    )

    def import_libraries() -> None:
        runtime.ingress.send(syn_packet(), runtime.ingress.address)
        with suppress(ImportError):
            __import__("balsamtide.there_is_no_such_module")

    loop.run(import_libraries)
    assert len(runtime.processor.pending_flows) == expected_flows
    runtime.ingress.close()
    runtime.inner.close()


class LoopbackFleet:
    """Fleet of real daemons on loopback addresses.

    Parameters
    ----------
    folder : Path
        Directory of the settings and log files.
    """

    def __init__(self, folder):
        self.folder = folder
        self.ports = {
            name: free_port(EVERY_HOST)
            for name in (
                "packets",
                "ready",
                "inner",
                "from_target",
                "to_target",
                "metrics",
            )
        }
        self.store = LoopbackStore("127.0.0.1")
        self.processes = {}
        self.targets = {}
        self.next_port = 2000

    def start(self, host, service=""):
        """Start a balancer, or an agent with its target."""
        if service and host not in self.targets:
            target = LoopbackTarget(
                (host, self.ports["to_target"]), (host, self.ports["from_target"])
            )
            target.start()
            self.targets[host] = target
            record = target_document(host, self.ports, service)
            self.store.put(f"servers/{host}", record)
        document = settings_document(
            host,
            ports=self.ports,
            store=self.store.address,
            seeds=["127.0.1.1"],
            service=service,
        )
        path = self.folder / f"{host}.yaml"
        path.write_text(dumps(document))
        environment = dict(os.environ)
        environment["BALSAMTIDE_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = "src"
        # The same for all instances, as in the deploy file.
        environment["BALSAMTIDE_METRICS_PORT"] = str(self.ports["metrics"])
        log = (self.folder / f"{host}.log").open("ab")
        self.processes[host] = subprocess.Popen(
            [sys.executable, "-m", "balsamtide.flow_daemon"],
            env=environment,
            stdout=log,
            stderr=subprocess.STDOUT,
        )

    def call(self, host="127.0.1.1"):
        """Send a request through a balancer and return the response or None."""
        self.next_port += 1
        return call_once(
            (host, self.ports["packets"]),
            ("127.0.9.1", self.ports["packets"]),
            ADDRESS,
            self.next_port,
        )

    def wait_until_serving(self):
        """Repeat a request until it is answered."""
        until = monotonic() + START_TIMEOUT_S
        while monotonic() < until:
            if self.call() is not None:
                return
            sleep(0.05)
        raise AssertionError(f"no response within {START_TIMEOUT_S} s")

    def wait_for_event(self, name, host="*"):
        """Wait until a process has logged an event, by default any one."""
        text = f'"name":"{name}"'
        until = monotonic() + START_TIMEOUT_S
        while not any(
            text in log.read_text() for log in self.folder.glob(f"{host}.log")
        ):
            assert monotonic() < until, f"no {name} within {START_TIMEOUT_S} s"
            sleep(0.05)

    def wait_for_line(self, *texts):
        """Wait until each process has logged a line that has some texts."""
        until = monotonic() + START_TIMEOUT_S
        for host in self.processes:
            log = self.folder / f"{host}.log"
            while not any(
                all(text in line for text in texts)
                for line in log.read_text().splitlines()
            ):
                assert monotonic() < until, f"no {texts} of {host}"
                sleep(0.05)

    def stop(self, host):
        """Stop a process with SIGTERM and return its exit code."""
        process = self.processes.pop(host)
        process.send_signal(signal.SIGTERM)
        return process.wait(START_TIMEOUT_S)

    def close(self):
        """Stop all processes, targets and the store."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        for target in self.targets.values():
            target.close()
        self.store.close()


@pytest.fixture
def fleet(tmp_path, request):
    """Yield a fleet of one balancer and two agents that answers requests.

    An indirect parameter sets attributes of its store before the start.
    """
    fleet = LoopbackFleet(tmp_path)
    for name, value in getattr(request, "param", {}).items():
        setattr(fleet.store, name, value)
    fleet.store.put("op/config", configuration_document({ADDRESS: SERVICE}))
    try:
        fleet.start("127.0.2.1", SERVICE)
        fleet.start("127.0.2.2", SERVICE)
        fleet.start("127.0.1.1")
        fleet.wait_until_serving()
        yield fleet
    finally:
        fleet.close()


@pytest.mark.processes
def test_daemons_serve_and_stop(fleet):
    """Requests are answered, also after a planned stop, which exits with code 0."""
    assert [fleet.call() for _ in range(20)] == [b"answer"] * 20
    assert fleet.stop("127.0.2.1") == 0
    assert [fleet.call() for _ in range(10)] == [b"answer"] * 10
    assert fleet.stop("127.0.1.1") == 0


@pytest.mark.processes
def test_daemons_follow_a_restored_store(fleet):
    """Versions under revisions that were given out again reach all processes.

    Ordered by revision alone, the restored store was behind all views.
    """
    backup = fleet.store.backup()
    fleet.store.put("op/evacuate/elsewhere", {})
    for version in (2, 3, 4):
        document = configuration_document({ADDRESS: SERVICE}, version)
        fleet.store.put("op/config", document)
    fleet.wait_for_line('"version":4', '"evacuated":"elsewhere"')
    fleet.store.restore(backup)
    fleet.wait_for_line('"name":"store-restored"', '"era":1', '"version":4')
    document = configuration_document({ADDRESS: SERVICE}, 5)
    fleet.store.put("op/config", document)
    fleet.wait_for_line('"name":"view-changed"', '"version":5', '"era":1')
    # The evacuation was not written again, so that it ends with the grace time.
    fleet.wait_for_line('"version":5', '"evacuated":""')
    assert fleet.call() == b"answer"


@pytest.mark.processes
@pytest.mark.parametrize("fleet", [{"era": None}], indirect=True)
def test_store_without_an_era_is_logged_once(fleet):
    """Daemons serve with a store that does not state its era, and say so once."""
    fleet.wait_for_event("store-era-unknown")
    fleet.store.put("op/config", configuration_document({ADDRESS: SERVICE}, 2))
    fleet.wait_for_line('"name":"view-changed"', '"version":2')
    for log in fleet.folder.glob("*.log"):
        assert log.read_text().count('"name":"store-era-unknown"') <= 1


def get_when_listening(url):
    """Return the response of an HTTP server that starts after the imports.

    The process forwards packets before that, so an answered request does not imply that
    the server listens.
    """
    until = monotonic() + START_TIMEOUT_S
    while True:
        try:
            return get(url)
        except ConnectError:
            if monotonic() > until:
                raise
            sleep(0.05)


@pytest.mark.processes
@pytest.mark.parametrize("fleet", [{"closes_connections": True}], indirect=True)
def test_daemons_start_with_a_store_that_closes_connections(fleet):
    """A fleet serves if the store closes each connection after its response."""
    assert [fleet.call() for _ in range(10)] == [b"answer"] * 10
    assert [process.poll() for process in fleet.processes.values()] == [None] * 3


@pytest.mark.processes
def test_daemons_serve_readiness_and_metrics(fleet):
    """The readiness probe returns 200, and the metrics include the packet counter."""
    ready = f"http://127.0.1.1:{fleet.ports['ready']}/-/readiness"
    assert get_when_listening(ready).status_code == 200
    for host in fleet.processes:
        metrics = f"http://{host}:{fleet.ports['metrics']}/metrics"
        assert "balsamtide_view_age_seconds" in get_when_listening(metrics).text


@pytest.mark.processes
@pytest.mark.parametrize("host", ["127.0.1.1", "127.0.2.1"], ids=["balancer", "agent"])
def test_daemon_waits_for_the_sockets_of_the_one_before_it(fleet, host):
    """A process that starts before its predecessor has ended takes over from it."""
    before = fleet.processes[host]
    fleet.start(host, SERVICE if host in fleet.targets else "")
    try:
        fleet.wait_for_event("address-unavailable")
        before.send_signal(signal.SIGTERM)
        assert before.wait(START_TIMEOUT_S) == 0
        ready = f"http://{host}:{fleet.ports['ready']}/-/readiness"
        assert get_when_listening(ready).status_code == 200
        assert [fleet.call() for _ in range(10)] == [b"answer"] * 10
        assert fleet.processes[host].poll() is None
    finally:
        before.kill()


@pytest.mark.processes
def test_daemon_that_waits_for_a_socket_stops(fleet):
    """A planned stop ends a process that waits for an address, with code 0."""
    before = fleet.processes["127.0.2.1"]
    fleet.start("127.0.2.1", SERVICE)
    try:
        fleet.wait_for_event("address-unavailable")
        assert fleet.stop("127.0.2.1") == 0
    finally:
        before.kill()


@pytest.mark.processes
def test_daemons_outlive_a_record_with_a_number_too_large(fleet):
    """A record of another writer, whose number no duration holds, ends no process."""
    record = target_document("127.0.2.9", fleet.ports, SERVICE)
    fleet.store.put("servers/odd", record | {"warmupLeftMs": 10**400})
    fleet.wait_for_event("document-rejected")
    assert [fleet.call() for _ in range(10)] == [b"answer"] * 10
    assert [process.poll() for process in fleet.processes.values()] == [None] * 3


@pytest.mark.processes
def test_killed_balancer_recovers_while_the_store_is_down(fleet):
    """With the store down, a restarted balancer pulls the view from its peers."""
    # An answered request shows that the balancer has a view, not that its peers do.
    for host in fleet.targets:
        fleet.wait_for_event("view-changed", host)
    fleet.store.is_down = True
    process = fleet.processes.pop("127.0.1.1")
    process.kill()
    process.wait()
    fleet.start("127.0.1.1")
    fleet.wait_until_serving()
    assert fleet.call() == b"answer"


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_signals_are_handled_during_imports(number):
    """A signal that arrives during the imports does not terminate the process."""
    # Exit code 7 shows that the process went on after the signal.
    code = (
        "import os, sys, signal\n"
        "class Finder:\n"
        "    def find_spec(self, name, *_):\n"
        "        if name == 'balsamtide.flow_node.daemon':\n"
        f"            os.kill(os.getpid(), {int(number)})\n"
        "            sys.exit(7)\n"
        "sys.meta_path.insert(0, Finder())\n"
        "from balsamtide.flow_daemon import main\n"
        "main()\n"
    )
    environment = dict(os.environ) | {"PYTHONPATH": "src"}
    done = subprocess.run(
        [sys.executable, "-c", code], env=environment, timeout=START_TIMEOUT_S
    )
    assert done.returncode == 7


@pytest.mark.processes
def test_daemon_rejects_invalid_settings(tmp_path):
    """Invalid settings are listed on stderr, and the process exits with code 2."""
    path = tmp_path / "node.yaml"
    path.write_text('{"nodeId": 5}')
    done = subprocess.run(
        [sys.executable, "-m", "balsamtide.flow_daemon"],
        env=dict(os.environ) | {"BALSAMTIDE_SETTINGS": str(path), "PYTHONPATH": "src"},
        capture_output=True,
        text=True,
        timeout=START_TIMEOUT_S,
    )
    assert done.returncode == 2
    # One line for each problem; the file has 15, as nearly all settings are missing.
    assert done.stderr.count("settings: ") > 5


@pytest.mark.parametrize(
    ("failures", "is_read"), [(0, True), (3, True), (10_000, False)]
)
def test_settings_that_are_just_being_written_are_read_again(
    tmp_path, failures, is_read
):
    """A settings file that is not valid at first is used once it is."""
    outcomes = iter([FlowSettingsError(("truncated",))] * failures)
    expected = object()

    def read(path: str) -> object:
        for error in outcomes:
            raise error
        return expected

    source = SettingsSource(str(tmp_path / "none"), read)
    if is_read:
        assert read_first_settings(source) is expected
    else:
        with pytest.raises(FlowSettingsError):
            read_first_settings(source)


@pytest.mark.parametrize(
    ("gap_s", "is_complete"), [(0.1, True), (1.5, False)], ids=["slow-link", "silent"]
)
def test_store_responses_may_pass_a_slow_link(gap_s, is_complete):
    """A response may take longer than the timeout as long as bytes arrive."""
    body = b"x" * 8
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n"

    async def serve(stream: SocketStream) -> None:
        await stream.receive_some()
        await stream.send_all(head)
        for index in range(len(body)):
            await trio_sleep(gap_s)
            await stream.send_all(body[index : index + 1])

    async def fetch() -> HttpResponse:
        async with open_nursery() as nursery:
            listeners = await nursery.start(serve_tcp, serve, 0)
            address = listeners[0].socket.getsockname()[:2]
            client = HttpClient(("127.0.0.1", address[1]), timeout_s=0.5)
            try:
                return await client.get("/")
            finally:
                await client.close()
                nursery.cancel_scope.cancel()

    if is_complete:
        assert run(fetch) == HttpResponse(200, body)
    else:
        with pytest.raises(ExceptionGroup) as caught:
            run(fetch)
        problems = [str(error) for error in caught.value.exceptions]
        assert len(problems) == 1
        assert problems[0].endswith("for 0.5 s")


@pytest.mark.parametrize("role", ["balancer", "agent"])
def test_http_is_not_imported_before_packets_are_served(role):
    """A started process that gets its view from a peer imports no HTTP library."""
    program = (
        "import sys\n"
        "import balsamtide.flow_node.daemon, balsamtide.flow_node.%s_runtime\n"
        "print(*{'h11', 'urllib.parse', 'trio'} & set(sys.modules))"
    )
    done = subprocess.run(
        [sys.executable, "-c", program % role],
        capture_output=True,
        text=True,
        check=True,
    )
    assert done.stdout.split() == []


@pytest.mark.parametrize("before_s", [0.0, 4.0, 30.0])
def test_stop_that_was_requested_during_imports_ends_before_the_kill(
    pipe, tmp_path, before_s
):
    """Time that passed before the node ran counts for the limit of a planned stop."""
    runtime = make_runtime(pipe, ready=free_port())
    runtime.has_work = lambda now: True
    limit_s = STOP_MARGIN_S + 0.5 + before_s
    runtime.settings = replace(runtime.settings, stop_timeout_s=limit_s)
    requested_at = boot_time() - before_s
    node = FlowNode(
        runtime=runtime,
        source=SettingsSource(str(tmp_path / "none"), lambda path: runtime.settings),
        store=ScriptedStore(StoreError("down")),
        readiness_path="/ready",
        random=Random(1),
        stop_requested_at=lambda: requested_at,
    )
    run(node.run, clock=BootTimeClock())
    assert boot_time() <= requested_at + limit_s
