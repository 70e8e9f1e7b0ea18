"""Scale runs: real dispatchers beside hollow ones, measured at the size that the fleet is designed for."""
