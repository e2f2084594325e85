"""What raw packets cost: CPU of decisions, octets of flows, and control of the view."""

from collections.abc import Iterable, Iterator
from time import process_time
from tracemalloc import get_traced_memory, start, stop

from balsamtide.fleet.change_log import ChangeLog
from balsamtide.fleet.view import FleetView
from balsamtide.fleet.view_codec import encode_update
from balsamtide.flows.flow_cache import CachedFlow, FlowCache
from balsamtide.flows.local_flows import LocalFlow, LocalFlows
from balsamtide.platform.packets import ACK, SYN
from balsamtide.protocol.flow_actions import SendFrame
from balsamtide.protocol.flow_frames import decode_frame
from balsamtide.transport.udp_socket import UdpSocket
from bench.figures import Figure
from bench.standins.flow_world import START, FlowWorld, WorldOptions

__all__ = ["figures"]

PACKETS = 20_000
FLOW_COUNTS = (10_000, 50_000, 200_000)
TARGET_COUNTS = (10, 100, 1_000)
IDLE_TIMEOUT_S = 15.0


def _cpu_us(call, count: int) -> float:
    began = process_time()
    for _ in range(count):
        call()
    return (process_time() - began) / count * 1e6


def _decisions() -> Iterator[Figure]:
    world = FlowWorld(WorldOptions(seed=1))
    host, balancer = next(iter(world.balancers.items()))
    (opened,) = balancer.receive_packet(world.packet(1, SYN, 1, 0), START)
    agent = world.agents[opened.host]
    agent.receive_frame(opened.frame, host, START)
    packet = world.packet(1, ACK, 2, 0)

    def at_balancer() -> None:
        for action in balancer.receive_packet(packet, START):
            if isinstance(action, SendFrame):
                action.frame.encode()

    frame = balancer.receive_packet(packet, START)[0].frame.encode()

    def at_agent() -> None:
        agent.receive_frame(decode_frame(frame), host, START)

    yield Figure(
        name="packet of an open flow, balancer",
        figure=_cpu_us(at_balancer, PACKETS),
        unit="us CPU",
    )
    yield Figure(
        name="packet of an open flow, agent",
        figure=_cpu_us(at_agent, PACKETS),
        unit="us CPU",
    )


def _bare() -> Iterator[Figure]:
    with UdpSocket("127.0.0.1", 0) as left, UdpSocket("127.0.0.1", 0) as right:
        data = bytes(600)

        def pass_on() -> None:
            left.send(data, right.address)
            for received, _ in right.receive_queued():
                right.send(received, left.address)
            left.receive_queued()

        yield Figure(
            name="two sends, two receives, bare sockets",
            figure=_cpu_us(pass_on, PACKETS),
            unit="us CPU",
        )


def _octets(make) -> float:
    start()
    kept = make()
    octets, _ = get_traced_memory()
    stop()
    return octets / len(kept)


def _cache(count: int) -> FlowCache:
    cache = FlowCache(max_flows=count)
    for number in range(count):
        cache.put(number.to_bytes(12, "big"), CachedFlow(1 << 30, 1 << 30, START + 1))
    return cache


def _local(count: int) -> LocalFlows:
    flows = LocalFlows(complete_at=START)
    for number in range(count):
        key = number.to_bytes(12, "big")
        flows.add(
            LocalFlow(key, 1 << 30, START + number, START + number, START + number)
        )
    return flows


def _memory() -> Iterator[Figure]:
    for count in FLOW_COUNTS:
        octets = _octets(lambda count=count: _cache(count))
        yield Figure(
            name=f"{count:,} flows: octets of one, balancer", figure=octets, unit="B"
        )
    octets = _octets(lambda: _local(FLOW_COUNTS[0]))
    yield Figure(
        name=f"{FLOW_COUNTS[0]:,} flows: octets of one, agent", figure=octets, unit="B"
    )


def _views() -> Iterator[Figure]:
    for count in TARGET_COUNTS:
        view: FleetView = FlowWorld(WorldOptions(targets=count, balancers=1)).view
        update = ChangeLog().update_for(view, -1, -1)
        data = encode_update(update, now=START)
        yield Figure(
            name=f"{count:,} targets: view on the wire", figure=len(data), unit="B"
        )


def figures() -> Iterable[Figure]:
    """Return the slopes of raw packets."""
    yield from _decisions()
    yield from _bare()
    yield from _memory()
    yield from _views()
