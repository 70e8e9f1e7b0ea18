"""Replication of idempotency keys: placement, claims, outcomes and catch-up, without I/O."""
