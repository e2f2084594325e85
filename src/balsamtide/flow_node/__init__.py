"""Runtime of a process that forwards raw packets: sockets, timers and signals.

`FlowDaemon` runs the process from start to stop.  It creates the `FlowRuntime` of the
role, `BalancerRuntime` or `AgentRuntime`, which owns the sockets and passes received
data to a `FlowProcessor`, which decides what to send.  `StartupLoop` drives the runtime
until trio is imported, `FlowNode` from then on.  Packets belong to flows of clients,
whereas frames are messages between processes of the fleet.
"""
