"""Sans-I/O data plane for raw packets, for the balancer and the agent.

Raw packets are the platform's TCP-like packets, which are forwarded without ending
the connection; a flow is one such connection.
A balancer sends packets of clients to the agents beside the targets; targets answer
through their agents.  The agent is authoritative for the flows of its target; a
balancer only keeps a cache of them.
"""
