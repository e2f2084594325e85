"""Faults of a run: each waits for its time, harms something and makes it whole."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from trio import current_time, open_nursery, sleep

from bench.fault_soak.fleet import EVACUATION_S
from bench.fault_soak.store_link import LinkFault

if TYPE_CHECKING:
    from bench.fault_soak.soak_run import SoakRun

__all__ = ["draw_faults"]

Fault = Callable[[], Awaitable[None]]
FaultKind = Callable[["SoakRun", Random], Awaitable[None]]

MIN_FAULTS = 6
MAX_FAULTS = 12
# Processes are started again by the platform after a short time.
RESTART_S = (0.05, 0.6)
SHORT_S = (0.2, 1.5)
LONG_S = (0.5, 3.0)
# A drained target serves for the drain time and exits some time later.
DRAIN_S = 3.0
HEARTBEAT_S = 0.4
MAX_SKEW_S = 3.0
# Restored stores and evacuations are drawn apart, so that the seeds of earlier faults
# draw these faults as before.
LATER_SHARE = 0.5
# Age of a backup, and the time within which what it lacks is written again.
BACKUP_AGE_S = (0.5, 3.0)
WRITTEN_AGAIN_S = 2.0
# An evacuation lasts beyond the bound, so that the check sees opening packets after it.
EVACUATED_S = EVACUATION_S + 3.0


def draw_faults(run: SoakRun) -> list[Fault]:
    """Draw the faults of a run from its seed."""
    random = Random(run.options.seed)
    faults = [
        partial(
            _inject,
            run,
            random.choice(KINDS),
            random.uniform(0.0, run.options.faults_s),
            Random(random.getrandbits(32)),
        )
        for _ in range(random.randint(MIN_FAULTS, MAX_FAULTS))
    ]
    later = Random(f"later faults of {run.options.seed}")
    for kind in LATER_KINDS:
        delay_s = later.uniform(0.0, run.options.faults_s)
        own = Random(later.getrandbits(32))
        if later.random() < LATER_SHARE:
            faults.append(partial(_inject, run, kind, delay_s, own))
    return faults


async def _inject(
    run: SoakRun, kind: FaultKind, delay_s: float, random: Random
) -> None:
    await sleep(delay_s)
    run.log.fault(current_time(), kind.__name__)
    await kind(run, random)


async def _restart(run: SoakRun, host: str, random: Random) -> None:
    with run.disturbance():
        run.fleet.kill(host)
        await sleep(random.uniform(*RESTART_S))
        run.fleet.start(host)


# Processes


async def kill_processes(run: SoakRun, random: Random) -> None:
    """Kill some processes, one after the other or again and again."""
    for _ in range(random.randint(1, 4)):
        await _restart(run, random.choice(list(run.fleet.daemons)), random)


async def kill_all(run: SoakRun, random: Random) -> None:
    """Kill all processes at once."""
    async with open_nursery() as nursery:
        for host in run.fleet.daemons:
            nursery.start_soon(_restart, run, host, random)


async def pause_processes(run: SoakRun, random: Random) -> None:
    """Let some processes stand still."""
    hosts = random.sample(list(run.fleet.daemons), random.randint(1, 2))
    with run.disturbance():
        for host in hosts:
            run.fleet.send(host, signal.SIGSTOP)
        await sleep(random.uniform(*LONG_S))
        for host in hosts:
            run.fleet.send(host, signal.SIGCONT)


async def roll_processes(run: SoakRun, random: Random) -> None:
    """Stop and start some processes as planned."""
    for host in random.sample(list(run.fleet.daemons), 3):
        with run.disturbance():
            await run.fleet.stop(host)
            run.fleet.start(host)


async def change_settings(run: SoakRun, random: Random) -> None:
    """Write the settings again, with or without a signal."""
    for host in run.fleet.daemons:
        run.fleet.write_settings(host)
        if random.random() < 0.5:
            run.fleet.send(host, signal.SIGHUP)


# The store


async def store_down(run: SoakRun, random: Random) -> None:
    """Let the store refuse all calls; records may lapse meanwhile."""
    run.store.is_down = True
    lapses = random.random() < 0.5
    if lapses:
        for host in run.targets:
            run.remove_record(host)
    with run.disturbance():
        await sleep(random.uniform(*LONG_S))
        run.store.is_down = False
    if lapses:
        await _write_records(run, random)


async def _write_records(run: SoakRun, random: Random) -> None:
    for host, target in run.targets.items():
        await sleep(random.uniform(0.0, HEARTBEAT_S))
        if not target.is_down and host not in run.gone:
            run.write_record(host)


async def harm_links(run: SoakRun, random: Random) -> None:
    """Harm the way of some processes to the store."""
    hosts = random.sample(list(run.fleet.daemons), random.randint(1, 4))
    for host in hosts:
        run.fleet.daemons[host].link.fault = random.choice(list(LinkFault))
    with run.disturbance():
        await sleep(random.uniform(*LONG_S))
        for host in hosts:
            run.fleet.daemons[host].link.fault = LinkFault.NONE


async def silence_connections(run: SoakRun, random: Random) -> None:
    """Silence all open connections to the store for good."""
    with run.disturbance():
        for daemon in run.fleet.daemons.values():
            daemon.link.silence_open_connections()


async def compact_store(run: SoakRun, random: Random) -> None:
    """Let the store forget its history."""
    run.store.compact()


async def restore_store(run: SoakRun, random: Random) -> None:
    """Let the store come back from a backup; what it lacks is written again."""
    backup = run.store.backup()
    await sleep(random.uniform(*BACKUP_AGE_S))
    with run.disturbance():
        run.store.is_down = True
        await sleep(random.uniform(*SHORT_S))
        run.store.restore(backup)
        run.store.is_down = False
    lost = sorted(run.written.keys() | backup.items.keys())
    random.shuffle(lost)
    for key in lost:
        await sleep(WRITTEN_AGAIN_S / len(lost))
        run.write_again(key)


# The operator and the targets


async def evacuate_zone(run: SoakRun, random: Random) -> None:
    """Evacuate one availability zone and return it to service."""
    zone = random.choice(sorted({t.zone for t in run.targets.values()}))
    run.evacuate(zone)
    await sleep(EVACUATED_S)
    run.end_evacuation(zone)


async def change_routes(run: SoakRun, random: Random) -> None:
    """Publish configurations; the last route may be dropped and come back."""
    route = run.routes[-1]
    for _ in range(random.randint(1, 3)):
        if random.random() < 0.5:
            route.dropped_at = current_time()
        else:
            route.dropped_at = float("inf")
        run.publish()
        await sleep(random.uniform(*SHORT_S))


async def crash_target(run: SoakRun, random: Random) -> None:
    """Let a target lose its flows, and start it again with a new record."""
    host = random.choice(list(run.targets))
    target = run.targets[host]
    if target.is_down or host in run.gone:
        return
    run.remove_record(host)
    target.crash()
    await sleep(random.uniform(*LONG_S))
    target.start(target.service)
    skew_s = random.uniform(-MAX_SKEW_S, MAX_SKEW_S)
    run.write_record(host, skew_s=skew_s)


async def drain_target(run: SoakRun, random: Random) -> None:
    """Drain a target, let it leave, and give its address to a new start."""
    host = random.choice(list(run.targets))
    target = run.targets[host]
    if target.is_down or host in run.gone:
        return
    run.gone.add(host)
    run.write_record(host, state="draining")
    await sleep(DRAIN_S)
    run.remove_record(host)
    target.crash()
    await sleep(random.uniform(*SHORT_S))
    target.start(target.service)
    run.gone.discard(host)
    run.write_record(host)


# The paths of packets


async def harm_packets(run: SoakRun, random: Random) -> None:
    """Lose, delay and repeat packets between clients and balancers."""
    router = run.router
    router.loss = random.uniform(0.0, 0.1)
    router.delay_s = random.uniform(0.0, 0.05)
    router.copies = random.uniform(0.0, 0.1)
    await sleep(random.uniform(*LONG_S))
    router.loss = router.delay_s = router.copies = 0.0


async def harm_target_path(run: SoakRun, random: Random) -> None:
    """Lose packets between an agent and its target."""
    target = random.choice(list(run.targets.values()))
    target.loss = random.uniform(0.02, 0.2)
    await sleep(random.uniform(*LONG_S))
    target.loss = 0.0


KINDS: tuple[FaultKind, ...] = (
    kill_processes,
    kill_all,
    pause_processes,
    roll_processes,
    change_settings,
    store_down,
    harm_links,
    silence_connections,
    compact_store,
    change_routes,
    crash_target,
    drain_target,
    harm_packets,
    harm_target_path,
)
LATER_KINDS: tuple[FaultKind, ...] = (restore_store, evacuate_zone)
