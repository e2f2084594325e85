"""What is settled before a flow is opened: QUIC version and the caller's address."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from aioquic.buffer import Buffer
from aioquic.quic.connection import NetworkAddress
from aioquic.quic.packet import (
    QuicHeader,
    encode_quic_retry,
    encode_quic_version_negotiation,
    pull_quic_header,
)
from aioquic.quic.retry import QuicRetryTokenHandler

from balsamtide.protocol.connection_id import CONNECTION_ID_BYTES
from balsamtide.protocol.messages import Endpoint

__all__ = ["AddressCheck", "AddressValidation"]


@dataclass(frozen=True, slots=True, kw_only=True)
class AddressCheck:
    """What to do with a first datagram.

    Parameters
    ----------
    answer : bytes or None
        Datagram to answer with instead of opening a flow.
    original_id : bytes or None
        ID of the caller's very first datagram, if a flow may be opened.
    retry_id : bytes or None
        ID that our Retry asked the caller to use.
    """

    answer: bytes | None = None
    original_id: bytes | None = None
    retry_id: bytes | None = None


class AddressValidation:
    """Answers first datagrams with Retry while many handshakes are in progress.

    Parameters
    ----------
    issue_id : callable
        Returns a connection ID that routes to this agent.
    versions : sequence of int
        QUIC versions that are spoken.
    """

    def __init__(
        self, *, issue_id: Callable[[], bytes], versions: Sequence[int]
    ) -> None:
        self.issue_id = issue_id
        self.versions = tuple(versions)
        self.tokens = QuicRetryTokenHandler()

    def check(
        self, datagram: bytes, caller: Endpoint, now: float, *, must_validate: bool
    ) -> AddressCheck:
        """Decide about a first datagram.

        Parameters
        ----------
        datagram : bytes
            An Initial packet.
        caller : Endpoint
            Where it came from.
        now : float
            Current time, seconds.
        must_validate : bool
            Whether a datagram without token is answered with Retry.
        """
        try:
            header = pull_quic_header(
                Buffer(data=datagram), host_cid_length=CONNECTION_ID_BYTES
            )
        except ValueError:
            return AddressCheck()
        if header.version not in self.versions:
            return AddressCheck(answer=self._offer_versions(header))
        address = (caller.host, caller.port)
        if header.token:
            return self._check_token(header, address, now)
        if not must_validate:
            return AddressCheck(original_id=header.destination_cid)
        return AddressCheck(answer=self._make_retry(header, address, now))

    def _offer_versions(self, header: QuicHeader) -> bytes | None:
        if not header.version:
            # An answer to a version negotiation could go on for ever.
            return None
        return encode_quic_version_negotiation(
            source_cid=header.destination_cid,
            destination_cid=header.source_cid,
            supported_versions=list(self.versions),
        )

    def _check_token(
        self, header: QuicHeader, address: NetworkAddress, now: float
    ) -> AddressCheck:
        try:
            original_id = self.tokens.validate_token(
                address=address,
                destination_cid=header.destination_cid,
                token=header.token,
                now=now,
            )
        except ValueError:
            return AddressCheck()
        return AddressCheck(original_id=original_id, retry_id=header.destination_cid)

    def _make_retry(
        self, header: QuicHeader, address: NetworkAddress, now: float
    ) -> bytes:
        retry_id = self.issue_id()
        assert header.version is not None
        token = self.tokens.create_token(
            address=address,
            original_destination_connection_id=header.destination_cid,
            retry_source_connection_id=retry_id,
            now=now,
        )
        return encode_quic_retry(
            version=header.version,
            source_cid=retry_id,
            destination_cid=header.source_cid,
            original_destination_cid=header.destination_cid,
            retry_token=token,
        )
