"""What becomes of a job whose key has come before. No I/O, no clock of its own."""
