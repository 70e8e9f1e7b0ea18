"""The invariants that a record of a run must keep, one module for each group of them."""
