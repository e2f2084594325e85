"""The numbered configuration: model, log, verdicts on entries, platform client."""
