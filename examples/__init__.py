"""Settings and keys to start with."""
