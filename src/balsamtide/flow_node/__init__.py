"""Runtime of a process that forwards raw packets: sockets, timers and signals."""
