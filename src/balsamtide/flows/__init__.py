"""Sans-I/O data plane for raw packets, for the balancer and the agent.

Raw packets are the platform's TCP-like packets, which are forwarded without ending
the connection; a flow is one such connection.

A balancer sends packets of clients to the agents beside the targets; targets answer
through their agents.  The agent is authoritative for the flows of its target; a
balancer only keeps a cache of them.

A `Carry` frame holds a client's packet.  An agent confirms a flow with `Taken` once
it delivered or queued its SYN or found the flow at its target.  It hands a packet
back with `Disowned` if the flow is not there.  A balancer that can't locate a flow
delivers a packet tentatively: to all agents that can't tell, whose targets return it
if they do not have the flow.
"""
