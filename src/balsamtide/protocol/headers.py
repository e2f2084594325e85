"""Names of the HTTP header fields that callers and agents exchange."""

__all__ = [
    "ATTEMPT",
    "DEADLINE_MS",
    "IDEMPOTENCY_KEY",
    "REASON",
    "REQUEST_ID",
    "RETRY_AFTER_MS",
    "STAGES",
    "STAMP",
    "VERDICT",
]

ATTEMPT = b"balsamtide-attempt"
DEADLINE_MS = b"balsamtide-deadline-ms"
IDEMPOTENCY_KEY = b"idempotency-key"
REASON = b"balsamtide-reason"
REQUEST_ID = b"balsamtide-request-id"
RETRY_AFTER_MS = b"balsamtide-retry-after-ms"
STAGES = b"balsamtide-stages"
STAMP = b"balsamtide-stamp"
VERDICT = b"balsamtide-verdict"
