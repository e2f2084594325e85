"""The agent beside a target: it ends flows and answers requests."""
