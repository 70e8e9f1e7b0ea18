"""What becomes of a job whose idempotency key has come before. No I/O, no clock of its own."""
