"""Adapter of the users' platform: its packet and JSON formats and its store's HTTP API.

It contains no load-balancing decisions.  In `balsamtide`, only `flow_node.daemon`
imports it, so that no other package depends on the platform's field names.
"""
