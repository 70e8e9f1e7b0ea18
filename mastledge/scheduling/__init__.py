"""Every decision of one dispatcher, without I/O and without a clock of its own: see `Scheduler`."""
