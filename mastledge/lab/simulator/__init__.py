"""The simulator: whole fleets in simulated time, with the decisions of the program."""
