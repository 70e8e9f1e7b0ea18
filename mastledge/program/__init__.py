"""The program round the dispatcher: command line, configuration, logs, phases."""
