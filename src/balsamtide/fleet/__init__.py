"""Replicated view of routes and targets, spread from the platform's store by gossip.

The package is sans-I/O; `balsamtide.flow_node` drives it.
"""
