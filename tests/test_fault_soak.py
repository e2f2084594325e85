"""A short run of the soak with real daemons, and seeds that failed once."""

import pytest
import trio

from bench.fault_soak.faults import draw_faults
from bench.fault_soak.promises import Promise
from bench.fault_soak.soak_run import SoakOptions, play

# A busy machine may be late; these hold whatever the time.
TIMELESS = {
    Promise.WHOLE_ANSWER,
    Promise.RIGHT_SERVICE,
    Promise.AT_MOST_ONCE,
    Promise.OPEN_FLOW,
    Promise.STOP,
}


class DrawnRun:
    """As much of a run as drawing its faults needs."""

    def __init__(self, seed):
        self.options = SoakOptions(seed=seed, folder=None)


def test_faults_follow_from_the_seed():
    """One seed always draws the same faults at the same times."""
    first, again, other = (
        [(fault.args[1].__name__, fault.args[2]) for fault in draw_faults(run)]
        for run in (DrawnRun(7), DrawnRun(7), DrawnRun(8))
    )
    assert first == again
    assert first != other


@pytest.mark.processes
@pytest.mark.parametrize(
    "seed",
    [
        9,  # A late copy of an opening at a second target.
        15,  # A list without targets, and clocks that disagree.
        31,  # A late copy of an opening at the target of the flow.
        152076,  # A balancer that starts while an outage of the store ends.
    ],
)
def test_promises_hold_under_faults(tmp_path, seed):
    """What clients and targets see keeps the promises that need no clock."""
    options = SoakOptions(seed=seed, folder=tmp_path, faults_s=4.0)
    result = trio.run(play, options)
    broken = [str(b) for b in result.breaches if b.promise in TIMELESS]
    assert broken == []
    assert result.calls > 0
