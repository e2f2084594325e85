"""Memory of idle flows at an agent, and CPU time of requests on them."""

from collections.abc import Iterator
from functools import partial
from gc import collect
from tracemalloc import get_traced_memory, start, stop

from bench.engine_driver import EngineDriver
from bench.figures import Figure
from bench.sampling import fit, fit_together, slope_figures

FLOWS = (40, 80, 160)
REQUESTS = (25, 50, 100)
ANSWERS = (100, 1_000, 10_000, 50_000)
MEMORY_REPEATS = 2
KIB = 1024.0
MS_PER_S = 1000.0


def _flow_bytes(count: int) -> float:
    start()
    try:
        driver = EngineDriver()
        driver.connect()
        collect()
        before, _ = get_traced_memory()
        for _ in range(count):
            driver.connect()
        driver.callers.clear()
        collect()
        after, _ = get_traced_memory()
    finally:
        stop()
    return float(after - before)


def _request_seconds(answer_bytes: int, count: int) -> float:
    driver = EngineDriver(answer_bytes=answer_bytes)
    caller = driver.connect()
    before = driver.cpu_s
    for _ in range(count):
        caller.ask()
        driver.settle(caller)
    return driver.cpu_s - before


def figures() -> Iterator[Figure]:
    """Measure flows at several counts and requests at several answer sizes."""
    memory = fit(_flow_bytes, FLOWS, repeats=MEMORY_REPEATS)
    yield from slope_figures(
        "flow: idle, at the agent", memory, unit="KiB", scale=1 / KIB
    )
    costs = {
        f"request: QUIC and HTTP/3 at the agent, answer {size} B": partial(
            _request_seconds, size
        )
        for size in ANSWERS
    }
    for name, slope in fit_together(costs, REQUESTS).items():
        yield from slope_figures(name, slope, unit="ms CPU", scale=MS_PER_S)
