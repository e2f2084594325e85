"""Tests of mutual TLS between processes: accepted certificates and events."""

from datetime import UTC, datetime, timedelta
from pathlib import Path
from random import Random

import pytest
from trio import current_time, run
from trio_asyncio import open_loop
from trustme import CA

from balsamtide.config.port import Instance
from balsamtide.membership.bulk_fetcher import BulkFetcher, make_fetch
from balsamtide.membership.events import STATE_FETCH_FAILED, STATE_FETCHED
from balsamtide.membership.membership import Membership
from balsamtide.membership.state_rpc import StateService
from balsamtide.node.rpc import client_context, serve_rpc, server_context
from balsamtide.protocol.messages import Endpoint
from balsamtide.settings.model import TlsFiles
from balsamtide.telemetry.memory_sink import MemorySink
from bench.standins.ports import free_port
from tests.fakes_membership import SnapshotFakeLog

HOST = "127.0.0.1"
PAST = datetime.now(UTC) - timedelta(days=1)


def write_files(
    folder: Path, name: str, *, issuer: CA, trusted: CA, is_expired: bool
) -> TlsFiles:
    """Write a certificate, its private key and the CA that its owner trusts."""
    until = PAST if is_expired else None
    since = PAST - timedelta(days=1) if is_expired else None
    leaf = issuer.issue_cert(HOST, not_before=since, not_after=until)
    files = TlsFiles(
        certificate=folder / f"{name}.pem",
        private_key=folder / f"{name}.key",
        authority=folder / f"{name}.authority",
    )
    files.certificate.write_bytes(leaf.cert_chain_pems[0].bytes())
    files.private_key.write_bytes(leaf.private_key_pem.bytes())
    assert files.authority is not None
    files.authority.write_bytes(trusted.cert_pem.bytes())
    return files


def make_instance(name: str, port: int) -> Instance:
    """Return an instance whose RPC endpoint has ``port``."""
    return Instance(
        name=name,
        role="balancer",
        region="r",
        zone="a",
        inner=Endpoint(HOST, port),
        rpc=Endpoint(HOST, port),
    )


@pytest.mark.parametrize(
    ("client", "server", "is_accepted"),
    [
        ("own", "own", True),
        ("foreign", "own", False),
        ("expired", "own", False),
        ("none", "own", False),
        ("own", "foreign", False),
        ("own", "expired", False),
    ],
)
def test_only_valid_certificates_are_accepted(tmp_path, client, server, is_accepted):
    """A foreign, expired or missing certificate is rejected and reported."""
    own, foreign = CA(), CA()

    def files(name: str, kind: str) -> TlsFiles:
        return write_files(
            tmp_path,
            name,
            issuer=foreign if kind == "foreign" else own,
            trusted=own,
            is_expired=kind == "expired",
        )

    server_tls = server_context(files("server", server))
    client_tls = None if client == "none" else client_context(files("client", client))
    sink = MemorySink()
    peer = make_instance("peer", free_port())

    async def scenario() -> bool:
        async with open_loop():
            log = SnapshotFakeLog()
            service = StateService(SnapshotFakeLog(), marks=tuple)
            membership = Membership(
                make_instance("self", free_port()),
                incarnation=1,
                log=log,
                sink=sink,
                random=Random(1),
                now=current_time(),
            )
            membership.update_instances([peer], current_time())
            fetcher = BulkFetcher(
                membership,
                log=log,
                fetch=make_fetch(client_tls),
                deliver=lambda sends: None,
                random=Random(1),
            )
            async with serve_rpc([service], peer.rpc, ssl=server_tls):
                return await fetcher.join()

    assert run(scenario) is is_accepted
    expected = STATE_FETCHED if is_accepted else STATE_FETCH_FAILED
    assert [event for event, _ in sink.events if event.number == expected.number]
