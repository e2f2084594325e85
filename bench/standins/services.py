"""Fleets of agents in services of nine, with everything that membership does."""

from collections.abc import Sequence
from dataclasses import replace

from balsamtide.config import ConfigurationReplica
from balsamtide.config.model import Configuration, Service, Target
from balsamtide.config.port import Instance
from balsamtide.telemetry.memory_sink import MemorySink
from bench.standins.members import Fleet, FleetRules, make_instances

__all__ = ["SERVICE_SIZE", "make_full_fleet", "service_configuration"]

SERVICE_SIZE = 9


def service_configuration(
    instances: Sequence[Instance], service_size: int
) -> Configuration:
    """Return services of ``service_size`` agents each."""
    starts = range(0, len(instances), service_size)
    return Configuration(
        services={
            f"s-{start}": Service(
                number=1 + place,
                targets={
                    each.name: Target(
                        number=1 + number,
                        zone=each.zone,
                        host=each.inner.host,
                        port=80,
                        agent_host=each.inner.host,
                        agent_port=each.inner.port,
                        agent_rpc_port=each.rpc.port,
                    )
                    for number, each in enumerate(
                        instances[start : start + service_size]
                    )
                },
            )
            for place, start in enumerate(starts)
        }
    )


def make_full_fleet(size: int, *, loss: float = 0.01, seed: int = 1) -> Fleet:
    """Return agents of services of nine, with heartbeats and readers."""
    instances = make_instances(size)
    configuration = service_configuration(instances, SERVICE_SIZE)

    def make_log(sink: MemorySink) -> ConfigurationReplica:
        replica = ConfigurationReplica(sink=sink)
        replica.held = replace(replica.held, number=1, configuration=configuration)
        return replica

    rules = FleetRules(seed=seed, loss=loss)
    return Fleet(instances, make_log=make_log, rules=rules)
