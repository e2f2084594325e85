"""The grpclib server of a process and the TLS contexts for RPC connections."""

from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from logging import getLogger
from ssl import (
    CERT_REQUIRED,
    PROTOCOL_TLS_CLIENT,
    PROTOCOL_TLS_SERVER,
    SSLContext,
    TLSVersion,
)
from typing import Any

from grpclib.server import Server
from trio import CancelScope
from trio_asyncio import aio_as_trio

from balsamtide.protocol.messages import Endpoint
from balsamtide.protocol.rpc import RpcCodec
from balsamtide.requests.hand_off_client import RPC_CONFIGURATION
from balsamtide.settings.model import TlsFiles

# grpclib logs an error with a traceback for every stream that a peer resets; peers
# reset streams to withdraw offers to hand over a request, which is normal operation.
RESET_MESSAGE = "Failed to handle cancellation"
getLogger("grpclib.server").addFilter(lambda line: line.msg != RESET_MESSAGE)

__all__ = ["client_context", "serve_rpc", "server_context"]


def _load_certificates(context: SSLContext, files: TlsFiles) -> SSLContext:
    context.minimum_version = TLSVersion.TLSv1_3
    context.load_cert_chain(files.certificate, files.private_key)
    context.load_verify_locations(files.authority)
    context.verify_mode = CERT_REQUIRED
    context.set_alpn_protocols(["h2"])
    return context


def server_context(files: TlsFiles | None) -> SSLContext | None:
    """Return the server context for mutual TLS, None without certificates."""
    if files is None:
        return None
    return _load_certificates(SSLContext(PROTOCOL_TLS_SERVER), files)


def client_context(files: TlsFiles | None) -> SSLContext | None:
    """Return the client context for mutual TLS, None without certificates.

    Host names are not checked, since peers are identified by IP addresses that change;
    any certificate issued by the installation's own CA is accepted.
    """
    if files is None:
        return None
    context = SSLContext(PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    return _load_certificates(context, files)


@asynccontextmanager
async def serve_rpc(
    services: Sequence[Any], endpoint: Endpoint, *, ssl: SSLContext | None
) -> AsyncIterator[Server]:
    """Serve ``services`` on ``endpoint`` inside a trio-asyncio loop.

    Server and clients use the same HTTP/2 configuration, with keep-alive pings.
    """
    server = Server(list(services), codec=RpcCodec(), config=RPC_CONFIGURATION)
    await aio_as_trio(server.start)(endpoint.host, endpoint.port, ssl=ssl)
    try:
        yield server
    finally:
        server.close()
        with CancelScope(shield=True, deadline=float("inf")):
            await aio_as_trio(server.wait_closed)()
