"""Data model of the configuration: services, targets and rules.

msgspec decodes and validates the classes.  Mappings are keyed by the names that
patches use in their paths, for example
``/services/timetable/targets/timetable-1/state``.  Objects of these classes never form
reference cycles, so ``gc=False`` exempts them from garbage collection, whose passes
over a large configuration would be slow.

A flow is one QUIC connection of a caller.  An agent is the process that accepts flows
for a target and passes their requests on to it.
"""

from enum import Enum
from typing import Annotated

from msgspec import Meta, Struct, field

__all__ = [
    "Address",
    "Configuration",
    "Limits",
    "Route",
    "Rules",
    "Service",
    "SizeClass",
    "Target",
    "TargetState",
]

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}\Z")]
Port = Annotated[int, Meta(ge=1, le=65535)]
Host = Annotated[str, Meta(min_length=2, max_length=45)]


class TargetState(Enum):
    """Administrative state of a target.

    An active target gets new flows, a draining one keeps its flows, and a disabled one
    gets no traffic.
    """

    ACTIVE = "active"
    DRAINING = "draining"
    DISABLED = "disabled"


class SizeClass(Enum):
    """Size class of requests; ``LEARNED`` derives it from measured durations."""

    LEARNED = "learned"
    SHORT = "short"
    LONG = "long"


class Address(Struct, frozen=True, forbid_unknown_fields=True, gc=False):
    """A public address at which callers reach a service."""

    host: Host
    port: Port


class Target(Struct, frozen=True, forbid_unknown_fields=True, gc=False):
    """A target and its agent.

    Parameters
    ----------
    number : int
        Number within the service, encoded in QUIC connection IDs.
    zone : str
        Availability zone.
    host : str
        IP address of the target.
    port : int
        HTTP/1.1 port of the target.
    agent_host : str
        IP address of its agent.
    agent_port : int
        UDP port of the agent for datagrams between balancers and agents.
    agent_rpc_port : int
        TCP port of the agent for gRPC.
    weight : int
        Share of new flows relative to the other targets of the service.
    slots : int
        Requests that the target handles concurrently.
    state : TargetState
        Administrative state.
    """

    number: Annotated[int, Meta(ge=1, le=2**32 - 1)]
    zone: Name
    host: Host
    port: Port
    agent_host: Host
    agent_port: Port
    agent_rpc_port: Port
    weight: Annotated[int, Meta(ge=1, le=1000)] = 100
    slots: Annotated[int, Meta(ge=1, le=10_000)] = 1
    state: TargetState = TargetState.ACTIVE


class Route(Struct, frozen=True, forbid_unknown_fields=True, gc=False):
    """Rules for the requests whose path starts with ``prefix``.

    Parameters
    ----------
    prefix : str
        Path prefix; the longest matching prefix wins.
    size_class : SizeClass
        Size class of the requests.
    deadline_ms : int
        Default deadline of a request that sets none, in milliseconds.
    idempotent_methods : tuple of str
        HTTP methods that may run more than once.
    frees_slot_at_head : bool
        Whether the target's slot is released once the response headers are sent,
        for event streams that are idle most of the time.
    """

    prefix: Annotated[str, Meta(pattern=r"^/", max_length=256)]
    size_class: SizeClass = SizeClass.LEARNED
    deadline_ms: Annotated[int, Meta(ge=1, le=86_400_000)] = 10_000
    idempotent_methods: tuple[str, ...] = ("GET", "HEAD", "OPTIONS")
    frees_slot_at_head: bool = False


class Limits(Struct, frozen=True, forbid_unknown_fields=True, gc=False):
    """Limits of one service.

    Parameters
    ----------
    queue : int
        Maximum of requests queued at one agent.
    flows : int
        Maximum of open flows at one agent.
    retry_percent : int
        Maximum of retries, as a percentage of first attempts.
    eject_percent : int
        Maximum of targets that are ejected at the same time, as a percentage of the
        targets of the service.  A target is ejected for a while when its requests fail.
    """

    queue: Annotated[int, Meta(ge=0, le=100_000)] = 64
    flows: Annotated[int, Meta(ge=1, le=1_000_000)] = 2000
    retry_percent: Annotated[int, Meta(ge=0, le=100)] = 10
    eject_percent: Annotated[int, Meta(ge=0, le=100)] = 30


class Rules(Struct, frozen=True, forbid_unknown_fields=True, gc=False):
    """Routes and limits of a service."""

    routes: tuple[Route, ...] = (Route(prefix="/"),)
    limits: Limits = Limits()


class Service(Struct, frozen=True, forbid_unknown_fields=True, gc=False):
    """A service: its number, addresses, targets and rules."""

    number: Annotated[int, Meta(ge=1, le=65535)]
    addresses: dict[Name, Address] = field(default_factory=dict)
    targets: dict[Name, Target] = field(default_factory=dict)
    rules: Rules = Rules()


class Configuration(Struct, frozen=True, forbid_unknown_fields=True):
    """One version of the configuration, without its version number."""

    services: dict[Name, Service] = field(default_factory=dict)
