"""Balancer: forwards datagrams without per-flow state."""
