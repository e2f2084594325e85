"""Hypothesis strategies shared by all property-based tests."""

from hypothesis import strategies as st
from msgspec.msgpack import encode

from balsamtide.protocol.messages import Endpoint, Forward, PatchOperation, Reply

__all__ = [
    "endpoints",
    "forwards",
    "json_values",
    "packed_values",
    "patch_operations",
    "replies",
]

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
json_values = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(-(2**63), 2**64 - 1),
        st.floats(allow_nan=False, allow_infinity=False),
        st.text(max_size=12),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=4),
        st.dictionaries(
            st.one_of(
                st.sampled_from(["number", "base", "patch", "op", "path", "value"]),
                st.text(max_size=6),
            ),
            inner,
            max_size=4,
        ),
    ),
    max_leaves=12,
)
packed_values = st.one_of(
    json_values.map(encode),
    st.lists(json_values, max_size=10).map(encode),
    st.tuples(st.integers(0, 10), st.text(max_size=5), st.integers(0, 9)).map(encode),
)
patch_paths = st.one_of(
    st.text(max_size=20),
    st.lists(
        st.sampled_from(
            [
                "services",
                "timetable",
                "targets",
                "t1",
                "t2",
                "state",
                "slots",
                "rules",
                "routes",
                "0",
                "-",
                "~0",
                "~1",
                "",
            ]
        ),
        max_size=6,
    ).map(lambda parts: "".join(f"/{part}" for part in parts)),
)
patch_operations = st.builds(
    PatchOperation,
    op=st.sampled_from(["add", "remove", "replace", "move", "copy", "test", "", "x"]),
    path=patch_paths,
    value=st.one_of(
        json_values, st.sampled_from(["draining", "active", "disabled", 1, 0, -1])
    ),
    source=st.one_of(st.none(), patch_paths),
)
