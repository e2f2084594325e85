"""A stand-in for the fabric: it hands each datagram to any balancer."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from trio import TASK_STATUS_IGNORED, Nursery, TaskStatus, open_nursery, sleep

from balsamtide.protocol.messages import Endpoint
from balsamtide.transport.datagram_socket import DatagramSocket

__all__ = ["Fabric", "PathFaults"]


@dataclass(slots=True)
class PathFaults:
    """What the paths between callers and balancers do to datagrams.

    Parameters
    ----------
    loss, duplicate, reorder : float
        Shares of datagrams that are lost, doubled or delayed by ``delay_s``.
    delay_s : float
        Extra delay of reordered datagrams, seconds.
    """

    loss: float = 0.0
    duplicate: float = 0.0
    reorder: float = 0.0
    delay_s: float = 0.005


class Fabric:
    """One public address in front of some balancers.

    Each caller gets a socket of its own towards the balancers, so that its address
    is the same whichever balancer gets a datagram.

    Parameters
    ----------
    public : Endpoint
        What callers send to; port 0 lets the system choose.
    balancers : callable
        Returns the local endpoints of the balancers that are alive.
    random : Random
        Source of the choices.
    faults : PathFaults or None
        Faults of the paths.
    """

    def __init__(
        self,
        public: Endpoint,
        *,
        balancers: Callable[[], Sequence[Endpoint]],
        random: Random,
        faults: PathFaults | None = None,
    ) -> None:
        self.socket = DatagramSocket(public)
        self.balancers = balancers
        self.random = random
        self.faults = faults or PathFaults()
        self.upstream: dict[tuple[str, int], DatagramSocket] = {}
        self.black_holes: set[tuple[str, int]] = set()

    @property
    def endpoint(self) -> Endpoint:
        """The public address."""
        return self.socket.endpoint

    async def run(self, *, task_status: TaskStatus[None] = TASK_STATUS_IGNORED) -> None:
        """Pass datagrams on until cancelled."""
        try:
            async with open_nursery() as nursery:
                task_status.started()
                while True:
                    for datagram, caller in await self.socket.receive():
                        self._spray(datagram, caller, nursery)
        finally:
            self.socket.close()
            for socket in self.upstream.values():
                socket.close()

    def _spray(
        self, datagram: bytes, caller: tuple[str, int], nursery: Nursery
    ) -> None:
        balancers = self.balancers()
        if not balancers or caller in self.black_holes:
            return
        if caller not in self.upstream:
            self.upstream[caller] = DatagramSocket(Endpoint(self.endpoint.host, 0))
            nursery.start_soon(self._return, caller, nursery)
        balancer = self.random.choice(balancers)
        destination = (balancer.host, balancer.port)
        self._pass(self.upstream[caller], datagram, destination, nursery)

    async def _return(self, caller: tuple[str, int], nursery: Nursery) -> None:
        upstream = self.upstream[caller]
        while True:
            for datagram, _ in await upstream.receive():
                if caller not in self.black_holes:
                    self._pass(self.socket, datagram, caller, nursery)

    def _pass(
        self,
        socket: DatagramSocket,
        datagram: bytes,
        destination: tuple[str, int],
        nursery: Nursery,
    ) -> None:
        faults = self.faults
        if self.random.random() < faults.loss:
            return
        if self.random.random() < faults.duplicate:
            socket.send(datagram, destination)
        if self.random.random() < faults.reorder:
            nursery.start_soon(self._pass_late, socket, datagram, destination)
            return
        socket.send(datagram, destination)

    async def _pass_late(
        self, socket: DatagramSocket, datagram: bytes, destination: tuple[str, int]
    ) -> None:
        await sleep(self.faults.delay_s)
        socket.send(datagram, destination)
