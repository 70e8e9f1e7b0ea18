"""Between the sockets and the decisions: the one task that owns the module, its jobs and launches."""
