"""Dry run of a patch: its evaluation, its changes and its risks."""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from balsamtide.config.difference import ConfigurationChange, diff_configurations
from balsamtide.config.evaluation import Evaluation, evaluate_entry
from balsamtide.config.model import Configuration, Service, TargetState
from balsamtide.protocol.messages import Entry

__all__ = ["PatchReport", "PatchWarning", "WarningKind", "check_patch"]


class WarningKind(Enum):
    """Class of a risk of a valid patch."""

    CUTS_FLOWS = "cuts-flows"
    MOVES_ADDRESS = "moves-address"
    NO_ACTIVE_TARGET = "no-active-target"
    NO_DEFAULT_ROUTE = "no-default-route"
    SHARED_AGENT = "shared-agent"


@dataclass(frozen=True, slots=True, kw_only=True)
class PatchWarning:
    """A risk of a valid patch.

    Parameters
    ----------
    kind : WarningKind
        Class of the risk.
    path : str
        JSON pointer to the member at risk.
    detail : str
        Description of the risk.
    """

    kind: WarningKind
    path: str
    detail: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PatchReport:
    """Effects that an entry would have if it were submitted.

    Parameters
    ----------
    evaluation : Evaluation
        Result that every process would get.
    changes : tuple of ConfigurationChange
        Differences to the configuration in force; empty if rejected.
    warnings : tuple of PatchWarning
        Risks; empty if rejected.
    """

    evaluation: Evaluation
    changes: tuple[ConfigurationChange, ...] = ()
    warnings: tuple[PatchWarning, ...] = ()


Check = Callable[[Configuration, Configuration], Iterable[PatchWarning]]


def _changed_services(
    old: Configuration, new: Configuration
) -> Iterator[tuple[str, Service | None, Service]]:
    for name, service in new.services.items():
        before = old.services.get(name)
        if service is not before:
            yield name, before, service


def _holds_flows(state: TargetState) -> bool:
    return state is not TargetState.DISABLED


def _find_cut_flows(old: Configuration, new: Configuration) -> Iterator[PatchWarning]:
    """Warn of active targets that are removed or disabled without a drain."""
    for name, service in old.services.items():
        after = new.services.get(name)
        if after is service:
            continue
        targets = {} if after is None else after.targets
        remaining_numbers = {
            target.number for target in targets.values() if _holds_flows(target.state)
        }
        for key, target in service.targets.items():
            if (
                target.state is TargetState.ACTIVE
                and target.number not in remaining_numbers
            ):
                yield PatchWarning(
                    kind=WarningKind.CUTS_FLOWS,
                    path=f"/services/{name}/targets/{key}",
                    detail="its open flows are cut; set its state to draining first",
                )


def _find_moved_addresses(
    old: Configuration, new: Configuration
) -> Iterator[PatchWarning]:
    """Warn of public addresses that are changed or removed."""
    for name, service in old.services.items():
        after = new.services.get(name)
        if after is service:
            continue
        addresses = {} if after is None else after.addresses
        for key, address in service.addresses.items():
            if addresses.get(key) != address:
                yield PatchWarning(
                    kind=WarningKind.MOVES_ADDRESS,
                    path=f"/services/{name}/addresses/{key}",
                    detail="flows to the old address are lost",
                )


def _find_inactive_services(
    old: Configuration, new: Configuration
) -> Iterator[PatchWarning]:
    """Warn of services that have no target for new flows."""
    for name, _, service in _changed_services(old, new):
        states = {target.state for target in service.targets.values()}
        if TargetState.ACTIVE not in states:
            yield PatchWarning(
                kind=WarningKind.NO_ACTIVE_TARGET,
                path=f"/services/{name}/targets",
                detail="no target is active; new flows cannot be routed",
            )


def _find_missing_routes(
    old: Configuration, new: Configuration
) -> Iterator[PatchWarning]:
    """Warn of services whose routes do not cover every path."""
    for name, _, service in _changed_services(old, new):
        if all(route.prefix != "/" for route in service.rules.routes):
            yield PatchWarning(
                kind=WarningKind.NO_DEFAULT_ROUTE,
                path=f"/services/{name}/rules/routes",
                detail="requests that match no route get the default rules",
            )


def _find_shared_agents(
    old: Configuration, new: Configuration
) -> Iterator[PatchWarning]:
    """Warn of agents that two services share; an agent serves only one."""
    changed = {name for name, _, _ in _changed_services(old, new)}
    owners: dict[tuple[str, int], str] = {}
    for name, service in new.services.items():
        for key, target in service.targets.items():
            endpoint = target.agent_host, target.agent_port
            owner = owners.setdefault(endpoint, name)
            if owner != name and changed & {owner, name}:
                yield PatchWarning(
                    kind=WarningKind.SHARED_AGENT,
                    path=f"/services/{name}/targets/{key}",
                    detail=f"service {owner} uses the same agent",
                )


CHECKS: tuple[Check, ...] = (
    _find_cut_flows,
    _find_moved_addresses,
    _find_inactive_services,
    _find_missing_routes,
    _find_shared_agents,
)


def check_patch(
    configuration: Configuration, in_force: int, entry: Entry
) -> PatchReport:
    """Evaluate ``entry`` and return its result, changes and risks.

    Parameters
    ----------
    configuration : Configuration
        Configuration in force.
    in_force : int
        Its version.
    entry : Entry
        The entry as it would be appended to the log.
    """
    evaluation = evaluate_entry(configuration, in_force, entry)
    if not evaluation.is_in_force:
        return PatchReport(evaluation=evaluation)
    successor = evaluation.configuration
    warnings = [
        warning for check in CHECKS for warning in check(configuration, successor)
    ]
    return PatchReport(
        evaluation=evaluation,
        changes=diff_configurations(configuration, successor),
        warnings=tuple(warnings),
    )
