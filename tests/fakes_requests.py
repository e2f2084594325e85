"""Builders of requests and services for the tests of requests and admission."""

from balsamtide.config.model import Limits, Route, Rules, Service, SizeClass, Target
from balsamtide.protocol.datagram import MacKeys
from balsamtide.requests.model import RequestFacts

__all__ = ["KEYS", "make_request", "make_service"]

KEYS = MacKeys(current=1, keys={1: b"k" * 32, 2: b"l" * 32})


def make_request(
    request_id: str = "r1",
    *,
    route: str = "/",
    key: str | None = None,
    attempt: int = 1,
    caller: str = "10.0.0.1",
    arrived: float = 0.0,
    deadline: float = 1.0,
    method: str = "POST",
) -> RequestFacts:
    """Return a request with default values."""
    return RequestFacts(
        request_id=request_id,
        service="timetable",
        route=route,
        method=method,
        is_idempotent=method == "GET",
        key=key,
        attempt=attempt,
        caller=caller,
        arrived=arrived,
        deadline=deadline,
    )


def make_service(
    targets: int = 7, slots: int = 1, *, queue: int = 64, eject_percent: int = 30
) -> Service:
    """Return a service with a route of each size class.

    The class is short for ``/``, long for ``/exports``, and learned from service times
    for ``/learned``.
    """
    return Service(
        number=1,
        targets={
            f"t{n}": Target(
                number=n,
                zone="abc"[n % 3],
                host="127.0.0.1",
                port=1,
                agent_host="127.0.0.1",
                agent_port=n,
                agent_rpc_port=1,
                slots=slots,
            )
            for n in range(1, targets + 1)
        },
        rules=Rules(
            routes=(
                Route(prefix="/", size_class=SizeClass.SHORT),
                Route(prefix="/exports", size_class=SizeClass.LONG),
                Route(prefix="/learned"),
            ),
            limits=Limits(queue=queue, eject_percent=eject_percent),
        ),
    )
