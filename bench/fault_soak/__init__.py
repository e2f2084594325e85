"""A randomized soak of the daemons for raw packets.

Real processes run on loopback addresses.  Faults come from outside: signals, a proxy
before the store, loss and delay of packets, targets that crash, drain and move.  The
promises are checked from what clients and targets see.
"""
