"""Sans-I/O transfer of updates between processes, in pieces of one datagram.

Most updates are the changes since the receiver's revision and fit into one piece.  A
whole view is sent in windows of pieces; the receiver asks for the next window, and
again for pieces that were lost.  A slow link thus delays a transfer, but it never
begins anew, and no more than a window waits on the link.
"""

from dataclasses import dataclass, field, replace
from math import inf
from zlib import crc32

from balsamtide.fleet.carry_over import CarryOver
from balsamtide.fleet.change_log import ChangeLog
from balsamtide.fleet.view import FleetView
from balsamtide.fleet.view_codec import encode_update
from balsamtide.protocol.view_frames import MAX_WANTED, PullRequest, ViewPiece

__all__ = ["UpdateSender", "ViewDownload"]

# Leaves room for the frame's head in a datagram of 1,232 bytes.
PIECE_BYTES = 1200
# Time after which missing pieces are asked for again, doubled up to the maximum.  The
# first is a few round trips to the farthest zone.
RETRY_S = 0.06
MAX_RETRY_S = 0.5
# A peer that sent no piece at all is given up after the first time, and one that sent
# some after the second.  A peer that starts or is overloaded answers late.
NO_ANSWER_S = 0.3
STALL_S = 1.0
# Encoded updates are kept for transfers in progress, and for other peers.
KEEP_S = 2.0
MAX_KEPT = 16


@dataclass(frozen=True, slots=True)
class _EncodedUpdate:
    data: bytes
    transfer: int
    position: tuple[int, int]
    encoded_at: float
    confirmed_at: float

    def piece(self, index: int, confirmed_at: float, now: float) -> ViewPiece:
        start = index * PIECE_BYTES
        return ViewPiece(
            transfer=self.transfer,
            elapsed_s=now - self.encoded_at,
            age_s=now - confirmed_at,
            index=index,
            count=self.count,
            data=self.data[start : start + PIECE_BYTES],
        )

    @property
    def count(self) -> int:
        return -(-len(self.data) // PIECE_BYTES)


class UpdateSender:
    """Encodes updates for peers and answers their requests.

    Parameters
    ----------
    log : ChangeLog
        Changes of the view.
    """

    def __init__(self, log: ChangeLog) -> None:
        self.log = log
        # By position and tag of the view, and the peer's revision and configuration
        # version.
        self.kept: dict[tuple[tuple[int, int], int, int, int], _EncodedUpdate] = {}

    def answer(
        self,
        request: PullRequest,
        view: FleetView,
        confirmed_at: float,
        now: float,
        *,
        carry_over: CarryOver | None = None,
    ) -> list[ViewPiece]:
        """Return the pieces that a peer asks for, or the first ones of an update.

        Whole views are sent with ``carry_over``.
        """
        self._forget(now)
        if request.transfer:
            for encoded in self.kept.values():
                if encoded.transfer == request.transfer:
                    wanted = [n for n in request.wanted if n < encoded.count]
                    return self._pieces(encoded, wanted, view, confirmed_at, now)
        if view.revision <= request.revision:
            return []
        encoded = self._encoded(request, view, confirmed_at, now, carry_over)
        first = range(min(MAX_WANTED, encoded.count))
        return self._pieces(encoded, list(first), view, confirmed_at, now)

    def _pieces(
        self,
        encoded: _EncodedUpdate,
        wanted: list[int],
        view: FleetView,
        confirmed_at: float,
        now: float,
    ) -> list[ViewPiece]:
        if encoded.position != view.position:
            # The later confirmation is for another revision.
            confirmed_at = encoded.confirmed_at
        return [encoded.piece(index, confirmed_at, now) for index in wanted]

    def _encoded(
        self,
        request: PullRequest,
        view: FleetView,
        confirmed_at: float,
        now: float,
        carry_over: CarryOver | None,
    ) -> _EncodedUpdate:
        key = view.position, view.content_tag, request.revision, request.version
        encoded = self.kept.get(key)
        if encoded is None:
            update = self.log.update_for(view, request.revision, request.version)
            if update.is_whole and carry_over is not None:
                update = replace(update, carry_over=carry_over)
            data = encode_update(update, now=now)
            transfer = crc32(data) or 1
            encoded = _EncodedUpdate(data, transfer, view.position, now, confirmed_at)
            self.kept[key] = encoded
        return encoded

    def _forget(self, now: float) -> None:
        """Drop old updates, and the oldest ones if there are too many."""
        for key in list(self.kept):
            is_old = now >= self.kept[key].encoded_at + KEEP_S
            if not is_old and len(self.kept) < MAX_KEPT:
                break
            del self.kept[key]


@dataclass(slots=True)
class ViewDownload:
    """An update that is being received from one peer.

    Parameters
    ----------
    peer : int
        Host of the peer.
    revision, version : int
        Revision and configuration version held when it was asked for.
    started_at : float
        Local time of the request.
    """

    peer: int
    revision: int
    version: int
    started_at: float
    transfer: int = 0
    count: int = 0
    pieces: dict[int, bytes] = field(default_factory=dict)
    awaited: set[int] = field(default_factory=set)
    retry_s: float = RETRY_S
    retry_at: float = inf
    stalls_at: float = inf
    encoded_at: float = inf
    confirmed_at: float = -inf

    def request(self, now: float) -> PullRequest:
        """Return the request for the next pieces, or for the first ones."""
        missing = [n for n in range(self.count) if n not in self.pieces][:MAX_WANTED]
        self.awaited = set(missing)
        self.retry_at = now + self.retry_s
        if self.stalls_at == inf:
            self.stalls_at = now + NO_ANSWER_S
        return PullRequest(
            revision=self.revision,
            version=self.version,
            transfer=self.transfer,
            wanted=tuple(missing),
        )

    def retry(self, now: float) -> PullRequest:
        """Return the request again, after no piece arrived in time."""
        self.retry_s = min(MAX_RETRY_S, 2 * self.retry_s)
        return self.request(now)

    def add(self, piece: ViewPiece, now: float) -> PullRequest | None:
        """Add a piece; return the next request if a window is complete."""
        if piece.transfer != self.transfer:
            # The peer has discarded the update that was asked for.
            self.transfer, self.count = piece.transfer, piece.count
            self.pieces.clear()
            self.awaited = set(range(min(MAX_WANTED, piece.count)))
        if piece.index in self.pieces or piece.count != self.count:
            return None
        self.pieces[piece.index] = piece.data
        self.encoded_at = now - piece.elapsed_s
        self.confirmed_at = now - piece.age_s
        self.awaited.discard(piece.index)
        self.retry_s = RETRY_S
        self.retry_at = now + self.retry_s
        self.stalls_at = now + STALL_S
        if self.awaited or self.is_complete:
            return None
        return self.request(now)

    @property
    def is_complete(self) -> bool:
        """Whether all pieces have arrived."""
        return 0 < self.count == len(self.pieces)

    @property
    def deadline(self) -> float:
        """Time at which pieces are asked for again, or the peer is given up."""
        return min(self.retry_at, self.stalls_at)

    def is_stalled(self, now: float) -> bool:
        """Whether the peer sent nothing for too long."""
        return now >= self.stalls_at

    @property
    def data(self) -> bytes:
        """The encoded update."""
        return b"".join(self.pieces[index] for index in range(self.count))
