"""Hand-over of closed ledgers at a planned stop."""

from trio import current_time

from balsamtide.agent.service_view import ServiceView
from balsamtide.node.node import Node
from balsamtide.protocol.actions import Send
from balsamtide.protocol.messages import Endpoint, TenureClosed
from balsamtide.requests.hand_off_client import HandOffClient
from balsamtide.requests.home import Home
from balsamtide.requests.ledger import Ledger
from balsamtide.requests.succession import Succession, successors

__all__ = ["hand_over_ledgers"]


async def hand_over_ledgers(
    home: Home, *, view: ServiceView, client: HandOffClient, node: Node
) -> None:
    """Close all ledgers for good and give each to one successor.

    Parameters
    ----------
    home : Home
        Owner of the ledgers.
    view : ServiceView
        The service.
    client : HandOffClient
        Connections to the peers.
    node : Node
        Sends the announcements.
    """
    home.close()
    for ledger in (home.ledger, *home.adopted.values()):
        successor = await _transfer(ledger, view, client)
        if successor is not None:
            node.send(_announcements(ledger, successor, view=view, node=node))


async def _transfer(
    ledger: Ledger, view: ServiceView, client: HandOffClient
) -> int | None:
    own = view.target.number
    candidates = [n for n in successors(view.service, ledger.target) if n != own]
    succession = Succession(candidates)
    image = ledger.image(current_time())
    while (candidate := succession.candidate) is not None:
        succession.record(await client.send_ledger(candidate, image))
    return succession.successor


def _announcements(
    ledger: Ledger, successor: int, *, view: ServiceView, node: Node
) -> list[Send]:
    message = TenureClosed(
        sender=node.settings.instance,
        incarnation=node.incarnation,
        service=view.service.number,
        target=ledger.target,
        tenure=ledger.tenure,
        successor=successor,
    )
    return [
        Send(Endpoint(peer.agent_host, peer.agent_port), message)
        for peer in view.peers()
    ]
