"""Events of a process that forwards raw packets."""

from balsamtide.telemetry.event import Event, Level

__all__ = [
    "ADDRESS_UNAVAILABLE",
    "DOCUMENT_REJECTED",
    "NODE_LOADED",
    "NODE_STARTED",
    "NODE_STOPPED",
    "NODE_STOPPING",
    "PULL_FAILED",
    "SETTINGS_RELOADED",
    "SETTINGS_UNUSABLE",
    "STORE_BACK",
    "STORE_ERA_UNKNOWN",
    "STORE_LOST",
    "STORE_READING",
    "STORE_RESTORED",
    "VIEW_CHANGED",
]

NODE_STARTED = Event(
    number=930,
    name="node-started",
    level=Level.INFO,
    meaning="The sockets are bound and the startup loop begins.",
    fields={
        "role": "balancer or agent",
        "zone": "availability zone",
        "service": "service of an agent's target",
        "start_ms": "CPU time since the process started, milliseconds",
    },
)
NODE_STOPPING = Event(
    number=931,
    name="node-stopping",
    level=Level.INFO,
    meaning="A planned stop began; the process reports that it is not ready.",
)
NODE_STOPPED = Event(
    number=932,
    name="node-stopped",
    level=Level.INFO,
    meaning="The planned stop has completed.",
    fields={"lasted_ms": "duration of the stop, milliseconds"},
)
SETTINGS_RELOADED = Event(
    number=933,
    name="settings-reloaded",
    level=Level.INFO,
    meaning="The settings file changed and was reloaded.",
    fields={"changed": "names of the changed settings"},
)
SETTINGS_UNUSABLE = Event(
    number=934,
    name="settings-unusable",
    level=Level.ERROR,
    meaning="The changed settings file is not valid; the previous settings stay "
    "in use.",
    action="Correct each listed problem.",
    fields={"problem": "all problems found"},
)
STORE_LOST = Event(
    number=935,
    name="store-lost",
    level=Level.WARNING,
    meaning="A request to the platform's store failed, or the changes to be read "
    "were discarded there or are too large, and the store is read in full.",
    action="Check the store; the fleet continues with its last known view.",
    fields={"reason": "error of the request"},
)
STORE_BACK = Event(
    number=936,
    name="store-back",
    level=Level.INFO,
    meaning="The platform's store responds again.",
    fields={"lost_ms": "duration of the outage, milliseconds"},
)
STORE_READING = Event(
    number=937,
    name="store-reading",
    level=Level.INFO,
    meaning="This process starts or stops reading the store for the fleet.",
    fields={"is_reader": "whether it reads from now on"},
)
VIEW_CHANGED = Event(
    number=938,
    name="view-changed",
    level=Level.INFO,
    meaning="Routes, targets or evacuations changed in this process's view.",
    fields={
        "version": "configuration version of the view",
        "revision": "revision of the store",
        "era": "number of times that the store was restored, as far as it says",
        "evacuated": "availability zones whose targets take no new flows",
        "source": "the store, the address of the process that sent the view, or "
        "grace-period at the end of one",
        "age_ms": "time since a reader confirmed the view as the newest, milliseconds",
        "targets": "changed targets with their states",
        "routes": "number of routes",
    },
)
DOCUMENT_REJECTED = Event(
    number=939,
    name="document-rejected",
    level=Level.WARNING,
    meaning="A document in the store is not valid; the previous configuration "
    "stays in use, but a target with an invalid record is removed.",
    action="Find the process that wrote the document.",
    fields={"key": "key of the document", "reason": "why it is not valid"},
)
PULL_FAILED = Event(
    number=940,
    name="pull-failed",
    level=Level.WARNING,
    meaning="Pulling the view from another process failed.",
    action="Check the peer if this repeats.",
    fields={"peer": "address of the peer", "reason": "error of the transfer"},
)
NODE_LOADED = Event(
    number=941,
    name="node-loaded",
    level=Level.INFO,
    meaning="All libraries are imported; tasks replace the startup loop.",
)
ADDRESS_UNAVAILABLE = Event(
    number=942,
    name="address-unavailable",
    level=Level.WARNING,
    meaning="A socket could not be bound; it is tried again.  Without the sockets for "
    "packets, the process does not start; without the listeners for readiness and "
    "metrics, it forwards packets.",
    action="Find the process that uses the address, or correct the settings.",
    fields={
        "address": "IP address and port",
        "reason": "error of the operating system",
        "retry_ms": "delay of the next attempt, milliseconds",
    },
)
STORE_RESTORED = Event(
    number=943,
    name="store-restored",
    level=Level.WARNING,
    meaning="The view is of another era: the store was restored from a backup.  For "
    "a grace period of 2.5 s, targets and evacuations that the backup lacks stay.",
    action="Check that the operator has written the configuration and the "
    "evacuations again that the backup lacks.",
    fields={
        "era": "era of the view",
        "revision": "revision of the store",
        "version": "configuration version, which never decreases",
        "era_before": "era of the view before",
        "revision_before": "revision of the view before",
        "source": "the store, or the address of the process that sent the view",
        "kept_targets": "targets that stay lapsed or draining",
        "kept_zones": "availability zones that stay evacuated",
    },
)
STORE_ERA_UNKNOWN = Event(
    number=944,
    name="store-era-unknown",
    level=Level.INFO,
    meaning="A response of the store did not state its era; the one that was read "
    "last counts, or 0.  Logged once in a process.",
    action="None if the store never states its era.  Otherwise check what is between "
    "this process and the store.",
    fields={"reason": "missing, or the value of the header"},
)
