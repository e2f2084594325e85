"""The caller library: requests with deadlines, verdicts and safe retries."""
