"""Membership: epidemic protocol, liveness, leases and choice of readers."""
