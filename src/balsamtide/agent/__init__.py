"""Agent of one target: terminates QUIC connections and proxies their requests."""
