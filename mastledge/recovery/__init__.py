"""Recovery after a restart: restored state, startup stages, admission ramp, fleet snapshots. No I/O."""
