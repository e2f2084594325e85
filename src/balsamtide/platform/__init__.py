"""Adapter of the users' platform: decodes its names, formats and calls.

It contains no load-balancing decisions, and no other package depends on the platform's
names.
"""
