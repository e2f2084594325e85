"""The log: numbered events as JSON lines or text, with repeats rate-limited."""

from collections import deque
from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from datetime import UTC, datetime
from itertools import count
from typing import Any, TextIO

from loguru import logger
from msgspec import Struct
from msgspec.json import encode

from balsamtide.telemetry.event import Event, Level
from balsamtide.telemetry.events import FIELD_DROPPED, REPEATS_SUPPRESSED

__all__ = ["EventLog", "LoggedEvent"]

BURST_EVENTS = 5
WINDOW_S = 10.0
RECENT_EVENTS = 512
MAX_VALUE_CHARACTERS = 200
DEFAULT_HANDLER = 0

FieldValue = str | int | float | bool | None
handler_numbers = count(1)


class LoggedEvent(Struct, frozen=True, omit_defaults=True):
    """One line of the log.

    Parameters
    ----------
    time : str
        Wall-clock time, ISO 8601, UTC.
    level : str
        Severity.
    number : int
        Number in the catalogue.
    name : str
        Name in the catalogue.
    instance : str
        Instance identifier of this process.
    fields : dict
        Fields of the event.
    repeats : int
        Occurrences since the line before that were not logged.
    """

    time: str
    level: str
    number: int
    name: str
    instance: str
    fields: dict[str, FieldValue]
    repeats: int = 0


@dataclass(slots=True)
class Window:
    """How often one event occurred in the current window."""

    deadline: float
    logged: int = 0
    suppressed: int = 0


class EventLog:
    """Writes events to a stream through loguru.

    Loguru's own handler, which would write every line to standard error as well, is
    removed.

    Parameters
    ----------
    stream : text stream
        Where lines go.
    instance : str
        Instance identifier.
    log_format : str
        ``"json"`` or ``"text"``.
    level : str
        Lowest level that is written.
    clock : callable
        Monotonic clock, seconds.
    wall_clock : callable
        Seconds since the epoch.
    """

    def __init__(
        self,
        stream: TextIO,
        *,
        instance: str,
        log_format: str,
        level: str,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        self.instance = instance
        self.clock = clock
        self.wall_clock = wall_clock
        self.render = _render_text if log_format == "text" else _render_json
        self.recent: deque[LoggedEvent] = deque(maxlen=RECENT_EVENTS)
        self.windows: dict[int, Window] = {}
        self.reported_fields: set[tuple[int, str]] = set()
        with suppress(ValueError):
            logger.remove(DEFAULT_HANDLER)
        name = f"balsamtide-{next(handler_numbers)}"
        self.logger = logger.bind(handler=name)
        self.handler = logger.add(
            stream,
            level=level,
            format="{message}",
            filter=lambda record: record["extra"].get("handler") == name,
            colorize=False,
        )

    def close(self) -> None:
        """Log the counts of all repeats and stop writing to the stream."""
        self._end_windows(list(self.windows))
        logger.remove(self.handler)

    def write(self, event: Event, fields: dict[str, Any]) -> None:
        """Log one occurrence of ``event``, or count it if it repeats too often."""
        window = self._window(event)
        if window.logged >= BURST_EVENTS:
            window.suppressed += 1
            return
        window.logged += 1
        self._emit(event, self._allowed(event, fields))

    def flush(self) -> None:
        """Log the counts of repeats whose window is over."""
        now = self.clock()
        self._end_windows(
            [n for n, window in self.windows.items() if window.deadline <= now]
        )

    def _end_windows(self, numbers: Iterable[int]) -> None:
        for number in numbers:
            window = self.windows.pop(number)
            if window.suppressed:
                self._emit_repeats(number, window.suppressed)

    def _window(self, event: Event) -> Window:
        now = self.clock()
        window = self.windows.get(event.number)
        if window is None or window.deadline <= now:
            if window is not None and window.suppressed:
                self._emit_repeats(event.number, window.suppressed)
            window = Window(deadline=now + WINDOW_S)
            self.windows[event.number] = window
        return window

    def _allowed(self, event: Event, fields: dict[str, Any]) -> dict[str, FieldValue]:
        for name in fields.keys() - event.fields.keys():
            self._report_field(event.number, name)
        return dict(_plain_fields(event, fields))

    def _report_field(self, number: int, name: str) -> None:
        if (number, name) not in self.reported_fields:
            self.reported_fields.add((number, name))
            self._emit(FIELD_DROPPED, {"event": number, "field": name})

    def _emit_repeats(self, number: int, repeats: int) -> None:
        self._emit(REPEATS_SUPPRESSED, {"event": number, "repeats": repeats})

    def _emit(self, event: Event, fields: dict[str, FieldValue]) -> None:
        line = LoggedEvent(
            time=format_time(self.wall_clock()),
            level=event.level.value,
            number=event.number,
            name=event.name,
            instance=self.instance,
            fields=fields,
        )
        if event.level is not Level.DEBUG:
            self.recent.append(line)
        self.logger.log(event.level.value, self.render(line))


def format_time(seconds: float) -> str:
    """Return seconds since the epoch as ISO 8601 in UTC."""
    moment = datetime.fromtimestamp(seconds, UTC)
    return moment.isoformat(timespec="milliseconds")


def _plain_fields(
    event: Event, fields: dict[str, Any]
) -> Iterator[tuple[str, FieldValue]]:
    for name in event.fields:
        if name in fields:
            yield name, _plain(fields[name])


def _plain(value: Any) -> FieldValue:
    if value is None or isinstance(value, bool | int | float):
        return value
    if isinstance(value, bytes | bytearray | memoryview):
        return f"<{len(value)} octets>"
    return str(value)[:MAX_VALUE_CHARACTERS]


def _render_json(line: LoggedEvent) -> str:
    return encode(line).decode()


def _render_text(line: LoggedEvent) -> str:
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
    head = f"{line.time} {line.level:7} {line.number} {line.name}"
    return f"{head} {fields}".rstrip()
