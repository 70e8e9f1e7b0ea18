"""Scale runs: real dispatchers beside lightweight ones, measured at the size of the designed fleet."""
