"""Schedule of load reports: on change and periodically, within a byte budget."""

from balsamtide.protocol.messages import LoadReport

__all__ = ["REPORT_BYTES", "REPORT_BYTES_PER_S", "ReportSchedule"]

REPORT_BYTES = 110
REPORT_BYTES_PER_S = 4000.0
BURST_BYTES = 4000.0
PERIOD_S = 1.0
WAIT_STEP_US = 10_000


class ReportSchedule:
    """Decides whether a load report is due; a token bucket limits the bytes.

    Parameters
    ----------
    now : float
        Local time, seconds.
    """

    def __init__(self, now: float) -> None:
        self.tokens = BURST_BYTES
        self.refilled_at = now
        self.due_at = now
        self.sent_content: tuple[int, int, int, str] | None = None

    def has_budget(self, peers: int, now: float) -> bool:
        """Return whether the budget allows a report to ``peers`` peers now."""
        self._refill(now)
        return peers > 0 and self.tokens >= REPORT_BYTES * peers

    def take_if_due(self, report: LoadReport, peers: int, now: float) -> bool:
        """Return whether to send ``report`` now; if so, spend the budget for it."""
        if not self.has_budget(peers, now):
            return False
        content = self._content(report)
        if content == self.sent_content and now < self.due_at:
            return False
        self.tokens -= REPORT_BYTES * peers
        self.sent_content = content
        self.due_at = now + PERIOD_S
        return True

    def _refill(self, now: float) -> None:
        gained = (now - self.refilled_at) * REPORT_BYTES_PER_S
        self.tokens = min(BURST_BYTES, self.tokens + gained)
        self.refilled_at = now

    @staticmethod
    def _content(report: LoadReport) -> tuple[int, int, int, str]:
        return (
            report.free_slots,
            report.short_wait_us // WAIT_STEP_US,
            report.long_wait_us // WAIT_STEP_US,
            report.state,
        )
