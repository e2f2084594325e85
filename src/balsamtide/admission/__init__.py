"""Admission: what starts on a target, what waits and what is refused."""
