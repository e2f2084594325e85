"""Tests of routable connection IDs."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from balsamtide.protocol.connection_id import (
    CONNECTION_ID_BYTES,
    ConnectionIdCodec,
    Destination,
    IdKeys,
)

OLD = {0: b"o" * 16}
BOTH = {0: b"o" * 16, 1: b"n" * 16}
destinations = st.builds(
    Destination, service=st.integers(0, 65535), target=st.integers(0, 2**32 - 1)
)


@given(destinations, st.integers(0, 2**32))
def test_destination_is_read_back(destination, seed):
    """A connection ID names the destination it was issued for."""
    codec = ConnectionIdCodec(
        IdKeys(current=0, keys=OLD), random=Random(seed).randbytes
    )
    connection_id = codec.issue(destination)
    assert len(connection_id) == CONNECTION_ID_BYTES
    assert codec.read(connection_id) == destination


@given(destinations)
def test_rotation_keeps_old_ids_readable(destination):
    """An ID issued under the old key is read while both keys are held."""
    old = ConnectionIdCodec(IdKeys(current=0, keys=OLD))
    rotated = ConnectionIdCodec(IdKeys(current=1, keys=BOTH))
    assert rotated.read(old.issue(destination)) == destination
    assert rotated.read(rotated.issue(destination)) == destination


@given(st.binary(max_size=24))
def test_forged_id_is_not_ours(connection_id):
    """An ID that nobody issued has no destination."""
    codec = ConnectionIdCodec(IdKeys(current=0, keys=OLD))
    assert codec.read(connection_id) is None
