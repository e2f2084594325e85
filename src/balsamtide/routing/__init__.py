"""Routing: consistent choice of targets and tables for lookups."""
