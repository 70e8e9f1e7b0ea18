"""The dispatcher process: command line, configuration, logs and lifecycle."""
