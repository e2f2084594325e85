"""Exchange of view updates with peers: one download at a time, and answers."""

from math import inf

from balsamtide.fleet.carry_over import CarryOver
from balsamtide.fleet.change_log import ChangeLog, ViewUpdate
from balsamtide.fleet.merge import with_update
from balsamtide.fleet.view import FleetView
from balsamtide.fleet.view_codec import ViewDecodeError, decode_update
from balsamtide.fleet.view_transfer import UpdateSender, ViewDownload
from balsamtide.protocol.flow_actions import Action, PullEnded, SendFrame
from balsamtide.protocol.view_frames import PullRequest, ViewPiece

__all__ = ["ViewExchange"]

Position = tuple[int, int]
NO_POSITION = (0, -1)


class ViewExchange:
    """Pulls updates from peers and sends them to peers.

    The view itself and its confirmation belong to `ViewGossip`.
    """

    def __init__(self) -> None:
        self.log = ChangeLog()
        self.sender = UpdateSender(self.log)
        self.download: ViewDownload | None = None
        # Peer with the newest view that was announced during the download, and its
        # position.
        self.newer_peer: tuple[int, Position] = (0, NO_POSITION)

    # Requests of peers

    def answer(
        self,
        request: PullRequest,
        source: int,
        view: FleetView,
        confirmed_at: float,
        now: float,
        *,
        carry_over: CarryOver | None = None,
    ) -> list[Action]:
        """Return the pieces that a peer asked for."""
        pieces = self.sender.answer(
            request, view, confirmed_at, now, carry_over=carry_over
        )
        return [SendFrame(source, piece) for piece in pieces]

    # Downloads

    def pull(
        self,
        peer: int,
        position: Position,
        view: FleetView,
        now: float,
        *,
        whole: bool = False,
    ) -> list[Action]:
        """Ask a peer for an update, or note that it is newer than a current download.

        Parameters
        ----------
        peer : int
            Host of the peer.
        position : tuple of (int, int)
            Era and revision of its view.
        view : FleetView
            Own view.
        now : float
            Local time in seconds.
        whole : bool
            Whether to ask for the whole view instead of the changes.  Changes of
            another era do not apply, so that the whole view is asked for then.
        """
        if self.download is not None:
            is_other = peer != self.download.peer
            if position > self.newer_peer[1] or (
                is_other and position == self.newer_peer[1]
            ):
                self.newer_peer = peer, position
            return []
        whole = whole or position[0] != view.era
        self.download = ViewDownload(
            peer,
            -1 if whole else view.revision,
            -1 if whole else view.configuration.version,
            now,
        )
        return [SendFrame(peer, self.download.request(now))]

    def receive(
        self, piece: ViewPiece, source: int, now: float
    ) -> tuple[ViewDownload | None, list[Action]]:
        """Add a piece; return the download if it is complete, and the actions."""
        download = self.download
        if download is None or source != download.peer:
            return None, []
        request = download.add(piece, now)
        if request is not None:
            return None, [SendFrame(source, request)]
        if not download.is_complete:
            return None, []
        self.download = None
        return download, []

    def apply(
        self, download: ViewDownload, view: FleetView, now: float
    ) -> tuple[FleetView, CarryOver | None, list[Action]]:
        """Return the view after a complete download, what it keeps, and the actions.

        If the result differs from the peer's view, the whole view is asked for.
        """
        try:
            update = decode_update(download.data, encoded_at=download.encoded_at)
            after = with_update(view, update, now)
        except ViewDecodeError as error:
            return view, None, [PullEnded(download.peer, str(error))]
        except ValueError as error:
            return view, None, self._pull_whole(download.peer, str(error), view, now)
        if self._differs(update, after):
            problem = f"changes since revision {update.base} give other contents"
            return view, None, self._pull_whole(download.peer, problem, view, now)
        actions = [PullEnded(download.peer), *self._pull_newer(after, now)]
        return after, update.carry_over, actions

    def _pull_whole(
        self, peer: int, problem: str, view: FleetView, now: float
    ) -> list[Action]:
        again = self.pull(peer, view.position, view, now, whole=True)
        return [PullEnded(peer, problem), *again]

    def _differs(self, update: ViewUpdate, after: FleetView) -> bool:
        return (
            not update.is_whole
            and after.position == (update.era, update.revision)
            and after.content_tag != update.content_tag
        )

    def _pull_newer(self, view: FleetView, now: float) -> list[Action]:
        (peer, position), self.newer_peer = self.newer_peer, (0, NO_POSITION)
        return self.pull(peer, position, view, now) if position > view.position else []

    # Timers

    @property
    def deadline(self) -> float:
        """Time of the next call of `tick`."""
        return self.download.deadline if self.download is not None else inf

    def tick(self, view: FleetView, now: float) -> list[Action]:
        """Ask again for lost pieces; give up a silent peer and ask a newer one."""
        download = self.download
        if download is None or now < download.deadline:
            return []
        if not download.is_stalled(now):
            return [SendFrame(download.peer, download.retry(now))]
        self.download = None
        received = f"{len(download.pieces)} of {download.count} pieces received"
        ended = PullEnded(download.peer, f"the peer went silent, {received}")
        return [ended, *self._pull_newer(view, now)]
