"""Between the sockets and the decisions: the one task that owns the scheduler, its jobs and launches."""
