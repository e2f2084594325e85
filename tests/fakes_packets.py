"""Packets, views and processes for tests of the raw-packet data plane."""

from dataclasses import replace
from random import Random
from typing import Any

from balsamtide.fleet.view import (
    FleetView,
    FlowConfiguration,
    FlowRoute,
    FlowTarget,
    TargetState,
)
from balsamtide.fleet.view_gossip import ViewGossip
from balsamtide.flows.flow_agent import FlowAgent
from balsamtide.flows.flow_balancer import FlowBalancer
from balsamtide.flows.flow_queue import ObjectiveOrder
from balsamtide.flows.placement import LeastLoadedPlacement
from balsamtide.flows.rebalancing import MoveShareOfNewTargets
from balsamtide.flows.spillover import LoadSpillover
from balsamtide.platform.packets import ACK, HEADER, RETURNED, SYN, WirePackets
from balsamtide.protocol.flow_actions import Action, SendFrame
from balsamtide.protocol.flow_frames import Carry, service_tag
from balsamtide.telemetry.memory_sink import MemorySink

BALANCER = 0x0A010001
HOSTS = (0x0A020001, 0x0A020002, 0x0A020003)
CLIENT = (0x64400007, 40001)
ADDRESS = (0xC6120001, 8443)
OTHER_ADDRESS = (0xC6120001, 8080)
NOW = 1000.0
# Unix milliseconds; the targets started 60 s before.
STARTED_MS = 1_700_000_000_000
PACKETS = WirePackets()
TARGETS = tuple(
    FlowTarget(
        name=f"i-{index}",
        service="orders",
        host=host,
        port=80,
        zone="z",
        capacity=1,
        state=TargetState.READY,
        started_ms=STARTED_MS - 60_000,
    )
    for index, host in enumerate(HOSTS)
)


def make_route(service: str = "orders") -> FlowRoute:
    """Return a route to one service."""
    return FlowRoute(
        name="r",
        shares=((service, 1),),
        timeout_s=1.0,
        objective_s=0.1,
        priority=1,
    )


def make_view(
    *targets: FlowTarget,
    version: int = 3,
    revision: int = 9,
    routes: dict[tuple[int, int], FlowRoute] | None = None,
) -> FleetView:
    """Return a view, by default of `TARGETS` and one route to their service."""
    configuration = FlowConfiguration(
        version=version,
        routes={ADDRESS: make_route()} if routes is None else routes,
        services=frozenset({"orders", "proofs"}),
        idle_timeout_s=15.0,
    )
    named = {target.name: target for target in targets or TARGETS}
    return FleetView(revision=revision, configuration=configuration, targets=named)


def make_gossip(
    host: int, view: FleetView, *, age_s: float = 0.0, now: float = NOW
) -> ViewGossip:
    """Return the gossip of a view confirmed ``age_s`` ago; it sends no digests."""
    gossip = ViewGossip(host=host, seeds=(), random=Random(1), now=now)
    gossip.view = view
    gossip.confirmed_at = now - age_s
    gossip.digest_at = float("inf")
    gossip.has_seen_peer = True
    return gossip


def make_balancer(
    view: FleetView | None = None, *, age_s: float = 0.0, **options: Any
) -> FlowBalancer:
    """Return a balancer."""
    return FlowBalancer(
        host=BALANCER,
        packets=PACKETS,
        gossip=make_gossip(BALANCER, view or make_view(), age_s=age_s),
        placement=LeastLoadedPlacement(zone="z", random=Random(1)),
        sink=MemorySink(),
        **options,
    )


def make_agent(
    view: FleetView | None = None,
    *,
    host: int = HOSTS[0],
    age_s: float = 0.0,
    flow_lifetime_s: float = 0.0,
    now: float = NOW,
    **options: Any,
) -> FlowAgent:
    """Return an agent; with a lifetime of 0 its flow table is complete."""
    return FlowAgent(
        host=host,
        service="orders",
        packets=PACKETS,
        gossip=make_gossip(host, view or make_view(), age_s=age_s, now=now),
        spillover=LoadSpillover(random=Random(1)),
        rebalancing=MoveShareOfNewTargets(random=Random(1)),
        order=ObjectiveOrder(),
        sink=MemorySink(),
        flow_lifetime_s=flow_lifetime_s,
        now=now,
        **options,
    )


def client_packet(
    flags: int = ACK,
    *,
    port: int = CLIENT[1],
    sequence: int = 500,
    acknowledgement: int = 0,
    data: int = 0,
    address: tuple[int, int] = ADDRESS,
) -> bytes:
    """Return a packet of a client."""
    # The echo and the sum, 0 and 7, are not evaluated.
    head = HEADER.pack(
        0,
        7,
        flags,
        CLIENT[0],
        address[1],
        port,
        address[0],
        data,
        sequence,
        acknowledgement,
    )
    return head + bytes(data)


def syn_packet(
    port: int = CLIENT[1], retransmissions: int = 0, **options: object
) -> bytes:
    """Return a client's SYN."""
    return client_packet(SYN, port=port, acknowledgement=retransmissions, **options)


def target_packet(
    flags: int = ACK, *, port: int = CLIENT[1], sequence: int = 0, data: int = 0
) -> bytes:
    """Return a packet of a target to a client."""
    # Acknowledges up to 500, the default sequence number of `client_packet`.
    head = HEADER.pack(
        0, 7, flags, ADDRESS[0], port, ADDRESS[1], CLIENT[0], data, sequence, 501
    )
    return head + bytes(data)


def returned_packet(packet: bytes) -> bytes:
    """Return a client's packet in the form in which a target returns it."""
    # Byte 8 of the header holds the flags.
    return packet[:8] + bytes([packet[8] | RETURNED]) + packet[9:]


def carry_frame(packet: bytes, **options: object) -> Carry:
    """Return a frame that carries a packet from the balancer."""
    base = Carry(
        origin=BALANCER, service=service_tag("orders"), version=3, packet=packet
    )
    return replace(base, **options)


def frames(actions: list[Action], kind: type) -> list[SendFrame]:
    """Return the actions that send frames of a kind."""
    return [
        action
        for action in actions
        if isinstance(action, SendFrame) and isinstance(action.frame, kind)
    ]


def of_kind(actions: list[Action], kind: type) -> list[Action]:
    """Return the actions of a kind."""
    return [action for action in actions if isinstance(action, kind)]
