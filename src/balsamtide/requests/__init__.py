"""Requests: ledger, hand-off among agents, retry budgets."""
