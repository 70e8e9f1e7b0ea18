"""Consensus among the dispatchers of a fleet: raft, leases and relays, without I/O or a clock."""
