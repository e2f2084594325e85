"""Telemetry: events, audit trail, metrics, stages of requests."""
