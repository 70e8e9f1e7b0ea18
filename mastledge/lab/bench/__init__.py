"""Measurements of the fleet: of processes, and of the decisions alone in simulated time."""
