"""Tests of the envelope of inner datagrams."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from balsamtide.protocol.datagram import DatagramCodec, MacKeys
from balsamtide.protocol.errors import DecodeError, DecodeFault
from balsamtide.protocol.messages import Heartbeat
from tests.strategies import forwards, replies

CODEC = DatagramCodec(MacKeys(current=1, keys={1: b"k" * 32, 2: b"l" * 32}))
OTHER = DatagramCodec(MacKeys(current=1, keys={1: b"x" * 32}))
HEARTBEAT = Heartbeat("a", 1, 2)


@given(st.one_of(forwards, replies))
def test_message_survives_the_wire(message):
    """A decoded datagram equals the message that was encoded."""
    assert CODEC.decode(CODEC.encode(message)) == message


@pytest.mark.parametrize(
    ("datagram", "fault"),
    [
        (b"", DecodeFault.TRUNCATED),
        (b"\x01\x01" + b"\0" * 10, DecodeFault.TRUNCATED),
        (CODEC.encode(HEARTBEAT)[:-1], DecodeFault.TRUNCATED),
        (b"\x01" * 9000, DecodeFault.OVERSIZED),
        (b"\x09" + CODEC.encode(HEARTBEAT)[1:], DecodeFault.UNKNOWN_VERSION),
        (b"\x01\x09" + CODEC.encode(HEARTBEAT)[2:], DecodeFault.UNKNOWN_KEY),
        (OTHER.encode(HEARTBEAT), DecodeFault.BAD_MAC),
        (CODEC.encode(HEARTBEAT) + b"\0", DecodeFault.BAD_MAC),
    ],
)
def test_bad_datagram_names_its_fault(datagram, fault):
    """Each kind of bad datagram is rejected with the fault that describes it."""
    with pytest.raises(DecodeError) as caught:
        CODEC.decode(datagram)
    assert caught.value.fault is fault


@given(st.binary(max_size=2000))
def test_arbitrary_octets_never_decode(octets):
    """Octets that nobody sealed raise the one typed error."""
    with pytest.raises(DecodeError):
        CODEC.decode(octets)
