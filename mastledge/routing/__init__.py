"""The router: the task between sockets and scheduler that owns jobs, launches and timers."""
