"""The soak: many short runs, each with the end of a process in which the seed has drawn what goes wrong."""
