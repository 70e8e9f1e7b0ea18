"""Idempotency keys: whether a job is new or a repeat, and what a repeat gets. No I/O and no clock."""
