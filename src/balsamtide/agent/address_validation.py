"""QUIC version negotiation and address validation before a flow is opened."""

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
    """Result of checking an Initial datagram.

    If ``answer`` and ``original_id`` are None, the datagram is to be dropped.

    Parameters
    ----------
    answer : bytes or None
        Retry or Version Negotiation packet to send instead of opening a flow.
    original_id : bytes or None
        Destination connection ID of the caller's first Initial packet, if a flow may
        be opened.
    retry_id : bytes or None
        Source connection ID of the agent's Retry packet, if one was sent.
    """

    answer: bytes | None = None
    original_id: bytes | None = None
    retry_id: bytes | None = None


class AddressValidation:
    """Validates Initial datagrams, with Retry tokens where required.

    Parameters
    ----------
    issue_id : callable
        Returns a new connection ID that routes to this agent.
    versions : sequence of int
        Supported QUIC versions.
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
        """Decide whether an Initial datagram may open a flow.

        Parameters
        ----------
        datagram : bytes
            Datagram that begins with an Initial packet.
        caller : Endpoint
            Source address.
        now : float
            Current time, seconds.
        must_validate : bool
            Whether to answer a datagram without a token with Retry.
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
            # Version 0 is itself a Version Negotiation packet; answering could loop.
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
