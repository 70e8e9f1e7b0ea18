"""Adapter from the bench wire to the scheduler: framing, names, units and timers."""
