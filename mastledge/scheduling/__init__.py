"""The scheduling decisions of one dispatcher; they do no I/O and read no clock (see `Scheduler`)."""
