"""Print the tables of docs/CAPACITY.md: ``python -m bench.capacity SLOPES.json ...``.

The files are written by ``python -m bench.slopes [MODULE ...] --json FILE``.
"""

import sys
from argparse import ArgumentParser
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from json import loads
from pathlib import Path

__all__ = ["Line", "Sizes", "main"]

DAY_S = 86_400
MS_PER_S = 1000.0
KIB_PER_MIB = 1024.0
CONTROL_MS_PER_S = 23.0
CONTROL_KB_PER_S = 10.0
CONTROL_MB = 256.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Sizes:
    """The installation that is planned for.

    Parameters
    ----------
    balancers, agents : int
        Processes of each role.
    addresses : int
        Public addresses.
    zones : int
        Availability zones.
    flows : int
        Open flows.
    new_flows_per_s : int
        Flows opened in a second.
    changes_per_day : int
        Entries of the log.
    restarts_per_day : int
        Instances restarted or replaced.
    list_period_s : int
        Time between two reads of the list of instances by one process.
    process_mb : float
        Resident memory of a daemon that has loaded its code.
    """

    balancers: int = 10_000
    agents: int = 65_000
    addresses: int = 7_400
    zones: int = 13
    flows: int = 83_000_000
    new_flows_per_s: int = 530_000
    changes_per_day: int = 13_000
    restarts_per_day: int = 5_400
    list_period_s: int = 3_600
    process_mb: float = 58.0

    @property
    def changes_per_s(self) -> float:
        """Entries in a second."""
        return self.changes_per_day / DAY_S

    @property
    def processes(self) -> int:
        """Processes in all."""
        return self.balancers + self.agents


@dataclass(frozen=True, slots=True, kw_only=True)
class Line:
    """One line of a table.

    Parameters
    ----------
    what : str
        What is counted.
    value : float
        The result.
    unit : str
        Its unit.
    how : str
        The arithmetic.
    target : float or None
        Upper bound that it should meet.
    """

    what: str
    value: float
    unit: str
    how: str
    target: float | None = None

    def render(self) -> str:
        """Return the line in Markdown."""
        if self.target is None:
            verdict = ""
        elif self.value <= self.target:
            verdict = f"met (at most {self.target:g})"
        else:
            excess = self.value - self.target
            verdict = f"**missed** by {excess:.3g} (at most {self.target:g})"
        return (
            f"| {self.what} | {self.value:.3g} {self.unit} | {self.how} | {verdict} |"
        )


Slopes = Mapping[str, float]


def control_lines(slopes: Slopes, sizes: Sizes, *, has_table: bool) -> list[Line]:
    """Return the cost of control at one process."""
    judge = slopes["65,000 targets: judge a drain, median"]
    rebuild = slopes["65,000 targets: rebuild after a drain, median"]
    calm_us = slopes["membership, 400 members: calm processor time, median"]
    octets = slopes["membership, 400 members: calm octets both ways, median"]
    pushed = slopes["membership, 400 members: octets sent for entries, median"]
    listed = slopes["membership, list of 75,000: take it, median"]
    per_change = judge + (rebuild if has_table else 0.0)
    changes = per_change * sizes.changes_per_s
    lists = listed / sizes.list_period_s
    return [
        Line(
            what="CPU of one change",
            value=per_change,
            unit="ms",
            how="judge" + (" + rebuild of the table" if has_table else ""),
        ),
        Line(
            what="CPU of control",
            value=changes + lists + calm_us / MS_PER_S,
            unit="ms/s",
            how=f"{sizes.changes_per_s:.3f} changes/s + list each "
            f"{sizes.list_period_s} s + calm membership",
            target=CONTROL_MS_PER_S,
        ),
        Line(
            what="octets of control",
            value=(octets + 2 * pushed) / 1000,
            unit="KB/s",
            how="calm both ways + entries at the planned rate, sent and received",
            target=CONTROL_KB_PER_S,
        ),
        Line(
            what="memory of control",
            value=_control_memory(slopes, sizes, has_table=has_table),
            unit="MB",
            how="code + configuration + list + 4,000 marks"
            + (" + two tables during a rebuild" if has_table else ""),
            target=CONTROL_MB,
        ),
    ]


def _control_memory(slopes: Slopes, sizes: Sizes, *, has_table: bool) -> float:
    held = (
        sizes.process_mb
        + slopes["65,000 targets: configuration in memory"]
        + slopes["membership, list of 75,000: held by membership"]
        + slopes["membership, 4,000 marks: held"]
    )
    tables = 2 * slopes["65,000 targets: table"] if has_table else 0.0
    return held + tables


def balancer_lines(slopes: Slopes, sizes: Sizes) -> list[Line]:
    """Return what a balancer does for callers."""
    there = slopes["packet: balancer routes and seals, 1200 B"]
    back = slopes["packet: balancer opens a reply, 1200 B"]
    first = slopes["packet: balancer routes and seals a first one, 1200 B"]
    new = sizes.new_flows_per_s / sizes.balancers
    return [
        Line(
            what="state of flows",
            value=0,
            unit="B",
            how="everything that a packet needs is in the packet or the table",
        ),
        Line(
            what="first datagrams",
            value=new,
            unit="/s",
            how=f"{sizes.new_flows_per_s:,} / {sizes.balancers:,}",
        ),
        Line(
            what="CPU of first datagrams",
            value=new * first / MS_PER_S,
            unit="ms/s",
            how=f"{new:.0f}/s x {first:.1f} us, without the socket",
        ),
        Line(
            what="datagrams on one core",
            value=1e6 / (there + back) * 2,
            unit="/s",
            how="both ways in equal parts, 1,200 B, without the socket",
        ),
    ]


def agent_lines(slopes: Slopes, sizes: Sizes) -> list[Line]:
    """Return what an agent does for callers."""
    flows = sizes.flows / sizes.agents
    new = sizes.new_flows_per_s / sizes.agents
    handshake = slopes["handshake: agent"]
    flow = slopes["flow: idle, at the agent"]
    request = slopes["request: QUIC and HTTP/3 at the agent, answer 1000 B"]
    return [
        Line(
            what="flows",
            value=flows,
            unit="",
            how=f"{sizes.flows:,} / {sizes.agents:,}",
        ),
        Line(
            what="memory of flows",
            value=flows * flow / KIB_PER_MIB,
            unit="MiB",
            how=f"{flows:.0f} x {flow:.0f} KiB, Python objects",
        ),
        Line(
            what="CPU of handshakes",
            value=new * handshake,
            unit="ms/s",
            how=f"{new:.2f}/s x {handshake:.2f} ms",
        ),
        Line(
            what="handshakes on one core",
            value=MS_PER_S / handshake,
            unit="/s",
            how="nothing else running",
        ),
        Line(
            what="requests on one core",
            value=MS_PER_S / request,
            unit="/s",
            how=f"{request:.2f} ms for QUIC and HTTP/3, answer 1,000 B",
        ),
    ]


def joiner_lines(slopes: Slopes, sizes: Sizes) -> list[Line]:
    """Return what a start costs."""
    snapshot = slopes["65,000 targets: snapshot"]
    join = slopes["65,000 targets: join a snapshot, median"]
    build = slopes["65,000 targets: full build, median"]
    restarts = sizes.restarts_per_day / DAY_S
    zone = sizes.processes / sizes.zones
    return [
        Line(what="snapshot", value=snapshot, unit="MB", how="65,000 targets"),
        Line(
            what="CPU until it can route",
            value=join + build,
            unit="ms",
            how="join the snapshot + build the table (balancer)",
        ),
        Line(
            what="octets over all processes",
            value=restarts * snapshot * 1e3 * 2 / sizes.processes,
            unit="KB/s each",
            how=f"{sizes.restarts_per_day:,} starts a day, sent and received",
        ),
        Line(
            what="octets when a zone starts",
            value=zone * snapshot / 1e3,
            unit="GB",
            how=f"{zone:,.0f} processes, each from a peer",
        ),
    ]


def bad_day_lines(slopes: Slopes, sizes: Sizes) -> list[Line]:
    """Return what the loss of a zone and of all flows costs."""
    handshake = slopes["handshake: agent"]
    flows = sizes.flows / sizes.agents
    left = sizes.agents * (1 - 1 / sizes.zones)
    lost = sizes.flows / sizes.zones / left
    return [
        Line(
            what="zone lost: handshakes at each agent left",
            value=lost,
            unit="",
            how=f"{sizes.flows:,} / {sizes.zones} zones over {left:,.0f} agents",
        ),
        Line(
            what="zone lost: CPU of them",
            value=lost * handshake / MS_PER_S,
            unit="s of one core",
            how=f"x {handshake:.2f} ms",
        ),
        Line(
            what="all callers reconnect: CPU at each agent",
            value=flows * handshake / MS_PER_S,
            unit="s of one core",
            how=f"{flows:.0f} x {handshake:.2f} ms",
        ),
        Line(
            what="open flows wait behind a new one",
            value=handshake,
            unit="ms at worst",
            how="one new flow at a time",
        ),
    ]


def tables(slopes: Slopes, sizes: Sizes) -> Iterator[tuple[str, list[Line]]]:
    """Yield the title and lines of each table."""
    yield "Balancer, traffic", balancer_lines(slopes, sizes)
    yield "Balancer, control", control_lines(slopes, sizes, has_table=True)
    yield "Agent, traffic", agent_lines(slopes, sizes)
    yield "Agent, control", control_lines(slopes, sizes, has_table=False)
    yield "Joiner", joiner_lines(slopes, sizes)
    yield "Bad days", bad_day_lines(slopes, sizes)


def load(paths: Sequence[Path]) -> dict[str, float]:
    """Return the figures of some files by name."""
    return {
        row["name"]: row["figure"] for path in paths for row in loads(path.read_text())
    }


def main() -> int:
    """Print all tables and return the exit code."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("files", nargs="+", type=Path)
    slopes = load(parser.parse_args().files)
    try:
        for title, lines in tables(slopes, Sizes()):
            print(f"### {title}\n")
            print("| What | Figure | From | Target |\n| --- | --- | --- | --- |")
            for line in lines:
                print(line.render())
            print()
    except KeyError as missing:
        print(f"no such figure in the files: {missing}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
