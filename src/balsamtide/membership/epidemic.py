"""Epidemic dissemination of entries and marks with anti-entropy.

New entries and marks are pushed once to a few random peers.  Members exchange digests
periodically, and a member that is behind pulls.  Content that does not fit a datagram
is transferred in bulk over RPC.
"""

from collections.abc import Callable, Sequence

from msgspec.msgpack import encode

from balsamtide.config.port import Instance
from balsamtide.membership.dissemination import Dissemination
from balsamtide.membership.events import CHAIN_MISMATCH
from balsamtide.membership.identity import Identity
from balsamtide.membership.limits import MembershipLimits
from balsamtide.membership.log import EntryLog
from balsamtide.membership.marks import MarkTable, split_marks
from balsamtide.membership.reporter import Reporter
from balsamtide.protocol.actions import Send
from balsamtide.protocol.messages import ChainDigest, Endpoint, Entry, Mark, Pull, Push

__all__ = ["Epidemic"]

# Upper bound for the sender, incarnation and array headers of an encoded push.
PUSH_OVERHEAD_BYTES = 100
# Datagrams of marks sent in response to one digest mismatch.
MAX_MARK_DATAGRAMS = 2
# Minimum time between two reports of a chain mismatch.
MISMATCH_REPORT_INTERVAL_S = 60.0


class Epidemic:
    """Pushes, pulls and digest exchanges of one member.

    Parameters
    ----------
    identity : Identity
        Name and incarnation of the local instance.
    log : EntryLog
        Log of the entries held.
    table : MarkTable
        Table of the known claims.
    dissemination : Dissemination
        Strategy that chooses recipients and exchange peers.
    limits : MembershipLimits
        Size bounds and periods.
    reporter : Reporter
        Reports chain mismatches.
    is_usable : callable
        Returns whether a peer is neither suspect nor in a marked zone.
    now : float
        Current time, seconds.
    """

    def __init__(
        self,
        identity: Identity,
        *,
        log: EntryLog,
        table: MarkTable,
        dissemination: Dissemination,
        limits: MembershipLimits,
        reporter: Reporter,
        is_usable: Callable[[Instance], bool],
        now: float,
    ) -> None:
        self.identity = identity
        self.log = log
        self.table = table
        self.dissemination = dissemination
        self.limits = limits
        self.reporter = reporter
        self.is_usable = is_usable
        self.last_pushed_number = log.held.number
        self.newest_known = log.held.number
        self.next_pull = now
        self.pull_source: Endpoint | None = None
        self.next_mark_sync = now
        self.next_mismatch_report = now
        # Peer that cannot send the next entry in a datagram, for a transfer over RPC.
        self.bulk_source: Endpoint | None = None
        period_s = dissemination.exchange_period_s
        initial_delay_s = dissemination.partial_view.random.random() * period_s
        self.next_exchange = now + (
            initial_delay_s if period_s < float("inf") else period_s
        )

    @property
    def content_bytes(self) -> int:
        """Bytes of encoded entries or marks that fit one push."""
        return self.limits.datagram_bytes - PUSH_OVERHEAD_BYTES

    def entries_arrived(self, now: float) -> list[Send]:
        """Push the entries that were added to the log since the last push."""
        return self._disseminate(self.last_pushed_number, (), is_origin=True)

    def publish(self, marks: Sequence[Mark], now: float) -> list[Send]:
        """Push marks that originate here and are already merged into the table."""
        return self._disseminate(self.log.held.number, marks, is_origin=True)

    def receive_push(
        self, push: Push, new_marks: Sequence[Mark], *, source: Endpoint, now: float
    ) -> list[Send]:
        """Add the entries of a push to the log and forward new entries and marks.

        Parameters
        ----------
        push : Push
            The received message.
        new_marks : sequence of Mark
            Marks of the push that the table accepted, with their remaining time.
        source : Endpoint
            Endpoint of the sender.
        now : float
            Current time, seconds.
        """
        before = self.log.held.number
        sends: list[Send] = []
        if push.entries and push.entries[-1].number > before:
            sends += self._add_entries(push, source, now)
        after = self.log.held.number
        if after > before:
            self.bulk_source = None
        # Entries received while catching up are not forwarded: others hold them.
        is_catching_up = after < self.newest_known
        start = after if is_catching_up else before
        sends += self._disseminate(start, new_marks, is_origin=False)
        return sends

    def _add_entries(self, push: Push, source: Endpoint, now: float) -> list[Send]:
        """Add the entries to the log and pull those that are still missing."""
        before = self.log.held.number
        self.newest_known = max(self.newest_known, push.entries[-1].number)
        self.log.offer_entries(push.entries, source=f"peer:{push.sender}", now=now)
        after = self.log.held.number
        if after >= self.newest_known:
            return []
        if after > before:
            self.next_pull = now
        return self._pull(source, now)

    def receive_digest(
        self, digest: ChainDigest, *, source: Endpoint, now: float
    ) -> list[Send]:
        """Compare a digest with the local state and repair the difference."""
        held = self.log.held
        sends: list[Send] = []
        if digest.number > held.number:
            sends += self._request_missing(digest, source, now)
        elif digest.number < held.number:
            sends += self._reply_with_entries(digest.number, source)
        elif digest.chain != held.chain:
            self._report_mismatch(digest, now)
        if digest.marks != self.table.digest():
            sends += self._reconcile_marks(digest, source, now)
        return sends

    def _report_mismatch(self, digest: ChainDigest, now: float) -> None:
        if now < self.next_mismatch_report:
            return
        self.next_mismatch_report = now + MISMATCH_REPORT_INTERVAL_S
        self.reporter.event(CHAIN_MISMATCH, peer=digest.sender, number=digest.number)

    def _request_missing(
        self, digest: ChainDigest, source: Endpoint, now: float
    ) -> list[Send]:
        self.newest_known = max(self.newest_known, digest.number)
        # A pull is answered by a digest if the next entry fits no datagram or is no
        # longer kept; entries that arrive nevertheless clear ``bulk_source``.
        is_answer = source == self.pull_source and not digest.wants_answer
        if is_answer and now < self.next_pull:
            self.bulk_source = source
            return []
        return self._pull(source, now)

    def _pull(self, source: Endpoint, now: float) -> list[Send]:
        if now < self.next_pull:
            return []
        self.next_pull = now + self.limits.pull_timeout_s
        self.pull_source = source
        return [self._pull_message(source, wants_marks=False)]

    def _pull_message(self, source: Endpoint, *, wants_marks: bool) -> Send:
        number = self.log.held.number
        name, incarnation = self.identity.name, self.identity.incarnation
        return Send(source, Pull(name, incarnation, number, wants_marks))

    def _reconcile_marks(
        self, digest: ChainDigest, source: Endpoint, now: float
    ) -> list[Send]:
        if now < self.next_mark_sync:
            return []
        # Limits the mark pushes to two rounds per exchange period.
        self.next_mark_sync = now + self.limits.exchange_period_s / 2
        sends = self._mark_pushes(source, now)
        if digest.wants_answer:
            sends.append(self._pull_message(source, wants_marks=True))
        return sends

    def receive_pull(self, pull: Pull, *, source: Endpoint, now: float) -> list[Send]:
        """Answer a pull with entries and marks, or a digest if no entry fits."""
        sends: list[Send] = []
        if pull.after < self.log.held.number:
            sends += self._reply_with_entries(pull.after, source)
        if pull.wants_marks:
            sends += self._mark_pushes(source, now)
        return sends

    def _reply_with_entries(self, after: int, source: Endpoint) -> list[Send]:
        entries = self._fitting_entries(after)
        if not entries:
            return [Send(source, self.digest(wants_answer=False))]
        sends = [Send(source, self._push(entries, ()))]
        if entries[-1].number < self.log.held.number:
            sends.append(Send(source, self.digest(wants_answer=False)))
        return sends

    def _mark_pushes(self, destination: Endpoint, now: float) -> list[Send]:
        groups = split_marks(self.table.to_marks(now), self.content_bytes)
        if len(groups) > MAX_MARK_DATAGRAMS:
            groups = self.dissemination.partial_view.random.sample(
                groups, MAX_MARK_DATAGRAMS
            )
        return [Send(destination, self._push((), marks)) for marks in groups]

    def _fitting_entries(self, after: int) -> tuple[Entry, ...]:
        entries = self.log.entries_after(after, max_bytes=self.content_bytes)
        while entries and len(encode(entries)) > self.content_bytes:
            entries = entries[:-1]
        if entries and entries[0].number != after + 1:
            return ()
        return entries

    def _push(self, entries: tuple[Entry, ...], marks: tuple[Mark, ...]) -> Push:
        name, incarnation = self.identity.name, self.identity.incarnation
        return Push(name, incarnation, entries, marks)

    def digest(self, *, wants_answer: bool) -> ChainDigest:
        """Return the digest of the local log and marks."""
        held = self.log.held
        return ChainDigest(
            sender=self.identity.name,
            incarnation=self.identity.incarnation,
            number=held.number,
            chain=held.chain,
            marks=self.table.digest(),
            wants_answer=wants_answer,
        )

    def _disseminate(
        self, after: int, marks: Sequence[Mark], *, is_origin: bool
    ) -> list[Send]:
        messages = self._update_messages(after, marks)
        self.last_pushed_number = self.log.held.number
        if not messages:
            return []
        recipients = self.dissemination.recipients(self.is_usable, is_origin=is_origin)
        return [Send(each, message) for each in recipients for message in messages]

    def _update_messages(
        self, after: int, marks: Sequence[Mark]
    ) -> list[Push | ChainDigest]:
        messages: list[Push | ChainDigest] = []
        number = self.log.held.number
        if after < number:
            entries = self._fitting_entries(after)
            if entries:
                messages.append(self._push(entries, ()))
            if not entries or entries[-1].number < number:
                messages.append(self.digest(wants_answer=False))
        groups = split_marks(marks, self.content_bytes)
        messages += [self._push((), group) for group in groups]
        return messages

    def tick(self, now: float) -> list[Send]:
        """Start a digest exchange when one is due."""
        if now < self.next_exchange:
            return []
        jitter = 0.9 + 0.2 * self.dissemination.partial_view.random.random()
        self.next_exchange = now + self.dissemination.exchange_period_s * jitter
        peer = self.dissemination.exchange_peer(self.is_usable)
        if peer is None:
            return []
        return [Send(peer, self.digest(wants_answer=True))]
