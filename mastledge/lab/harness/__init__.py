"""Parts of the process harness: configuration, dispatchers, faults, operators' calls, record."""
