"""The grpclib server of a process and the TLS contexts of its RPC connections."""

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

# grpclib logs every stream that a peer resets as an error with a traceback; peers
# reset streams to withdraw offers, which is no fault.
RESET_MESSAGE = "Failed to handle cancellation"
getLogger("grpclib.server").addFilter(lambda line: line.msg != RESET_MESSAGE)

__all__ = ["client_context", "serve_rpc", "server_context"]


def _load(context: SSLContext, files: TlsFiles) -> SSLContext:
    context.minimum_version = TLSVersion.TLSv1_3
    context.load_cert_chain(files.certificate, files.private_key)
    context.load_verify_locations(files.authority)
    context.verify_mode = CERT_REQUIRED
    context.set_alpn_protocols(["h2"])
    return context


def server_context(files: TlsFiles | None) -> SSLContext | None:
    """Return the server side of mutual TLS, None without certificates."""
    if files is None:
        return None
    return _load(SSLContext(PROTOCOL_TLS_SERVER), files)


def client_context(files: TlsFiles | None) -> SSLContext | None:
    """Return the client side of mutual TLS, None without certificates.

    Peers are known by IP numbers that change; any certificate of the installation's
    own authority is accepted.
    """
    if files is None:
        return None
    context = SSLContext(PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    return _load(context, files)


@asynccontextmanager
async def serve_rpc(
    services: Sequence[Any], endpoint: Endpoint, *, ssl: SSLContext | None
) -> AsyncIterator[Server]:
    """Serve ``services`` on ``endpoint`` inside a trio-asyncio loop."""
    server = Server(list(services), codec=RpcCodec(), config=RPC_CONFIGURATION)
    await aio_as_trio(server.start)(endpoint.host, endpoint.port, ssl=ssl)
    try:
        yield server
    finally:
        server.close()
        with CancelScope(shield=True, deadline=float("inf")):
            await aio_as_trio(server.wait_closed)()
