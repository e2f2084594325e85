"""Parts shared by balancers and agents: inner link, control loop and RPC server."""
