"""Hypothesis strategies shared by all property-based tests."""

from hypothesis import strategies as st

from balsamtide.protocol.messages import Endpoint, Forward, Reply

__all__ = ["endpoints", "forwards", "replies"]

endpoints = st.builds(
    Endpoint, host=st.ip_addresses().map(str), port=st.integers(1, 65535)
)
forwards = st.builds(
    Forward,
    caller=endpoints,
    service=st.integers(1, 65535),
    address=st.text(min_size=1, max_size=20),
    version=st.integers(0, 2**40),
    hops=st.integers(0, 1),
    elapsed_us=st.integers(0, 10**9),
    reply_to=endpoints,
    payload=st.binary(max_size=1500),
)
replies = st.builds(
    Reply,
    caller=endpoints,
    service=st.integers(1, 65535),
    address=st.text(min_size=1, max_size=20),
    payload=st.binary(max_size=1500),
)
