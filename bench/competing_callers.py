"""Replay of a burst of one kind of request: ``python -m bench.competing_callers``.

A third of the targets is gone, and the demand for one kind multiplies for some seconds.
Kinds and numbers are those of docs/hard-load.md, scaled to fewer targets.  Prints the
outcome by kind and zone, as means over seeds.
"""

from argparse import ArgumentParser
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from statistics import fmean

from balsamtide.fleet.view import FleetView
from balsamtide.flows.fair_share import FairShareOrder
from balsamtide.telemetry.sink import Sink
from bench.standins.flow_world import START, FlowWorld, RequestKind, WorldOptions

__all__ = [
    "REPLAYS",
    "Burst",
    "Outcome",
    "main",
    "make_fair_share",
    "outcomes",
    "play",
]

MakeFairShare = Callable[[Sink], FairShareOrder]
WARM_S = 1.5
BURST_S = 5.0
AFTER_S = 1.0
DRAIN_S = 7.5
ZONES = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class Burst:
    """One replay.

    Parameters
    ----------
    options : WorldOptions
        Fleet and kinds of requests.
    kind : str
        The kind whose demand multiplies.
    factor : float
        By how much.
    lost_zone : bool
        Whether the targets of one zone are gone.
    zone_weights : tuple of float
        Share of the burst that comes from each zone's clients.
    """

    options: WorldOptions
    kind: str
    factor: float
    lost_zone: bool = True
    zone_weights: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Outcome of a class of requests, in percent and milliseconds."""

    in_objective: float
    late: float
    failed: float
    refusals: float
    rejections: float
    p50_ms: float
    p99_ms: float


def _kinds(
    *, targets: int, of: int, busy: float, rows: Iterable[tuple[float, ...]]
) -> tuple[RequestKind, ...]:
    scale = busy * targets / of
    names = ("reads", "orders", "uploads")
    return tuple(
        RequestKind(
            name=name,
            rate=rate * scale,
            work_s=work_s,
            objective_s=objective_s,
            timeout_s=timeout_s,
            priority=int(priority),
            request_packets=int(packets),
            flows=round(flows * targets / of),
        )
        for name, (
            rate,
            work_s,
            objective_s,
            timeout_s,
            priority,
            packets,
            flows,
        ) in zip(names, rows, strict=True)
    )


def _options(targets: int, kinds: tuple[RequestKind, ...], delay_s: float):
    return WorldOptions(
        balancers=6,
        targets=targets,
        capacity=1,
        server_queue=8,
        kinds=kinds,
        zones=ZONES,
        zone_delay_s=delay_s,
    )


# `busy` brings 15 targets with one slot each to the load at which the burst takes
# nearly all slots of those that are left.
FIRST = _options(
    15,
    _kinds(
        targets=15,
        of=52,
        busy=1.25,
        rows=(
            (657, 0.022, 0.277, 1.661, 2, 1, 330),
            (188, 0.029, 0.278, 2.224, 1, 1, 0),
            (56, 0.005, 0.873, 6.548, 2, 17, 0),
        ),
    ),
    0.0005,
)
SECOND = _options(
    15,
    _kinds(
        targets=15,
        of=40,
        busy=1.0,
        rows=(
            (578, 0.026, 0.353, 2.354, 2, 1, 290),
            (165, 0.033, 0.352, 2.933, 1, 1, 0),
            (50, 0.0042, 0.945, 7.088, 2, 34, 0),
        ),
    ),
    0.0035,
)
REPLAYS = {
    "first-reads-1.7": Burst(options=FIRST, kind="reads", factor=1.7),
    "first-reads-2.2": Burst(options=FIRST, kind="reads", factor=2.2),
    "first-reads-2.2-one-zone": Burst(
        options=FIRST, kind="reads", factor=2.2, zone_weights=(1, 0, 0)
    ),
    "first-orders-2.2": Burst(options=FIRST, kind="orders", factor=2.2),
    "second-reads-1.7": Burst(options=SECOND, kind="reads", factor=1.7),
    "second-orders-2.2": Burst(options=SECOND, kind="orders", factor=2.2),
}


def make_fair_share(sink: Sink) -> FairShareOrder:
    """Return the fair shares of an agent."""
    return FairShareOrder(sink=sink)


def play(
    burst: Burst, seed: int, fair_share: MakeFairShare | None = make_fair_share
) -> FlowWorld:
    """Play a burst and return the world after its end."""
    world = FlowWorld(replace(burst.options, seed=seed), fair_share=fair_share)
    begin, end = START + WARM_S, START + WARM_S + BURST_S
    for kind in burst.options.kinds:
        world.offer_kind(kind, START, end + AFTER_S)
        if kind.name == burst.kind:
            world.offer_kind(
                kind,
                begin,
                end,
                factor=burst.factor - 1,
                zone_weights=burst.zone_weights,
            )
    if burst.lost_zone:
        kept = {
            name: target
            for name, target in world.view.targets.items()
            if target.zone != world.zone_name(0)
        }
        world.publish(
            FleetView(revision=2, configuration=world.view.configuration, targets=kept)
        )
    world.run_until(end + AFTER_S + DRAIN_S)
    return world


def outcome(world: FlowWorld, *, kind: str = "", zone: int | None = None) -> Outcome:
    """Return the outcome of the requests that began during the burst."""
    begin, end = START + WARM_S, START + WARM_S + BURST_S
    share = world.served(begin, end, kind=kind, zone=zone)
    asked = world.asked(begin, end, kind=kind, zone=zone)
    took = sorted(r.answered_at - r.began_at for r in asked if r.answered_at)
    return Outcome(
        in_objective=100 * share.in_objective,
        late=100 * share.late,
        failed=100 * share.failed,
        refusals=100 * sum(r.refusals for r in asked) / max(1, len(asked)),
        rejections=100 * sum(r.rejections for r in asked) / max(1, len(asked)),
        p50_ms=1000 * took[len(took) // 2] if took else 0.0,
        p99_ms=1000 * took[len(took) * 99 // 100] if took else 0.0,
    )


def outcomes(worlds: list[FlowWorld]) -> dict[str, Outcome]:
    """Return the mean outcome over worlds of each kind, each zone and both."""
    kinds = [kind.name for kind in worlds[0].kinds]
    classes: list[tuple[str, int | None]] = [("", None)]
    classes += [(kind, None) for kind in kinds]
    classes += [("", zone) for zone in range(ZONES)]
    classes += [(kind, zone) for kind in kinds for zone in range(ZONES)]
    found = {}
    for kind, zone in classes:
        each = [outcome(world, kind=kind, zone=zone) for world in worlds]
        name = f"{kind or 'all'}{'' if zone is None else f' z{zone}'}"
        found[name] = Outcome(
            **{
                field: fmean(getattr(one, field) for one in each)
                for field in Outcome.__slots__
            }
        )
    return found


def _row(one: Outcome) -> str:
    return " ".join(f"{getattr(one, field):6.1f}" for field in Outcome.__slots__)


def main() -> None:
    """Print the outcomes of replays."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("replays", nargs="*", default=list(REPLAYS))
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--reset-spread-s", type=float, default=0.0)
    parser.add_argument("--retry-delay-s", type=float, default=0.0)
    arguments = parser.parse_args()
    for name in arguments.replays:
        seeds = range(1, arguments.seeds + 1)
        burst = REPLAYS[name]
        options = replace(
            burst.options,
            reset_spread_s=arguments.reset_spread_s,
            retry_delay_s=arguments.retry_delay_s,
        )
        burst = replace(burst, options=options)
        print(f"{name}: objective late failed refusals rejections p50 p99")
        before, after = (
            outcomes([play(burst, seed, policy) for seed in seeds])
            for policy in (None, make_fair_share)
        )
        for who in before:
            print(f"  {who:11}", _row(before[who]), " | ", _row(after[who]))


if __name__ == "__main__":
    main()
