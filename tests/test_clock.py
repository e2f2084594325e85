"""Tests of the clock of a machine that was suspended."""

from random import Random
from time import CLOCK_BOOTTIME, clock_gettime

import pytest

from balsamtide import clock
from balsamtide.clock import boot_time
from balsamtide.fleet.view import FleetView
from balsamtide.fleet.view_gossip import OUTAGE_AGE_S, ViewGossip
from balsamtide.protocol.flow_actions import SendFrame
from balsamtide.protocol.flow_frames import Digest
from balsamtide.telemetry.line_sink import LineSink
from balsamtide.transport.boot_time_clock import BootTimeClock

SUSPENDED_S = 3600.0
HOST, PEER = 0x0A000001, 0x0A000002
CLOCKS = {
    "code without trio": lambda: boot_time(),
    "trio": BootTimeClock().current_time,
    "log": lambda: LineSink(instance="balancer-1").clock(),
}


@pytest.fixture
def suspended(monkeypatch):
    """Let the clock that counts suspensions run ahead of the monotonic clock."""
    monkeypatch.setattr(
        clock,
        "clock_gettime",
        lambda kind: (
            clock_gettime(kind) + (SUSPENDED_S if kind == CLOCK_BOOTTIME else 0.0)
        ),
    )


@pytest.mark.parametrize("read", CLOCKS.values(), ids=CLOCKS)
def test_clocks_count_a_suspension(suspended, read):
    """The time for which a machine was suspended passes on each clock."""
    assert read() >= clock_gettime(CLOCK_BOOTTIME) + SUSPENDED_S - 1.0


@pytest.mark.usefixtures("suspended")
def test_deadline_passes_during_a_suspension():
    """A deadline within the suspension has passed when the machine wakes."""
    deadline = clock_gettime(CLOCK_BOOTTIME) + SUSPENDED_S / 2
    assert BootTimeClock().deadline_to_sleep_time(deadline) < 0


def test_view_from_before_a_suspension_is_not_fresh(monkeypatch):
    """A process that wakes refuses nothing by its view, and announces its age."""
    gossip = ViewGossip(host=HOST, seeds=[PEER], random=Random(1), now=boot_time())
    gossip.apply_store_view(FleetView(revision=5), boot_time())
    assert gossip.is_fresh(boot_time())
    monkeypatch.setattr(
        clock, "clock_gettime", lambda kind: clock_gettime(kind) + SUSPENDED_S
    )
    assert not gossip.is_fresh(boot_time())
    digests = [
        action.frame
        for action in gossip.tick(boot_time())
        if isinstance(action, SendFrame) and isinstance(action.frame, Digest)
    ]
    assert digests
    assert all(digest.age_s > OUTAGE_AGE_S for digest in digests)
