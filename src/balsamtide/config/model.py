"""The configuration in force: services, targets and rules.

The classes are decoded and validated by msgspec.  Mappings are keyed by the names
that patches use in their paths, for example
``/services/timetable/targets/timetable-1/state``.  They never form cycles, so the
garbage collector does not track them; a large configuration would make each of its
passes slow.
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
    """What a target may be given."""

    ACTIVE = "active"
    DRAINING = "draining"
    DISABLED = "disabled"


class SizeClass(Enum):
    """Whether work is short or long; learned from service times where not stated."""

    LEARNED = "learned"
    SHORT = "short"
    LONG = "long"


class Address(Struct, frozen=True, forbid_unknown_fields=True, gc=False):
    """A public address of a service, as callers see it."""

    host: Host
    port: Port


class Target(Struct, frozen=True, forbid_unknown_fields=True, gc=False):
    """A target and the agent beside it.

    Parameters
    ----------
    number : int
        Number unique within the service; it stands in connection IDs.
    zone : str
        Availability zone.
    host : str
        IP address of the target.
    port : int
        HTTP/1.1 port of the target.
    agent_host : str
        IP address of its agent.
    agent_port : int
        UDP port of the agent for inner datagrams.
    agent_rpc_port : int
        TCP port of the agent for grpclib.
    weight : int
        Share of new flows, relative to the other targets of the service.
    slots : int
        Requests that the target runs at a time.
    state : TargetState
        What the target may be given.
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
        Start of the path; the longest matching prefix wins.
    size_class : SizeClass
        Class of the work.
    deadline_ms : int
        Deadline of a request that states none, in milliseconds.
    idempotent_methods : tuple of str
        Methods that may run more than once.
    frees_slot_at_head : bool
        Whether the target's slot is free once the answer has begun, as with streams
        that only wait for news.
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
        Requests that wait at one agent.
    flows : int
        Open flows at one agent.
    retry_percent : int
        Retries as a share of first tries.
    eject_percent : int
        Targets that may be ejected at a time.
    """

    queue: Annotated[int, Meta(ge=0, le=100_000)] = 64
    flows: Annotated[int, Meta(ge=1, le=1_000_000)] = 2000
    retry_percent: Annotated[int, Meta(ge=0, le=100)] = 10
    eject_percent: Annotated[int, Meta(ge=0, le=100)] = 30


class Rules(Struct, frozen=True, forbid_unknown_fields=True, gc=False):
    """How work reaches the targets of a service."""

    routes: tuple[Route, ...] = (Route(prefix="/"),)
    limits: Limits = Limits()


class Service(Struct, frozen=True, forbid_unknown_fields=True, gc=False):
    """A service: its number, its addresses, its targets and its rules."""

    number: Annotated[int, Meta(ge=1, le=65535)]
    addresses: dict[Name, Address] = field(default_factory=dict)
    targets: dict[Name, Target] = field(default_factory=dict)
    rules: Rules = Rules()


class Configuration(Struct, frozen=True, forbid_unknown_fields=True):
    """One version of the configuration, without its number."""

    services: dict[Name, Service] = field(default_factory=dict)
