"""The bench wire in front of the decisions: framing, names, units, timers. It decides nothing."""
