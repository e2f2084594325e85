"""What balancers and agents have in common: the inner link and the control tasks."""
