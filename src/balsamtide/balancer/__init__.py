"""The balancer: it forwards datagrams and keeps no state of flows."""
