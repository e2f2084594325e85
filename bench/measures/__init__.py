"""Measures, one module a subject; each has a function ``figures``."""
