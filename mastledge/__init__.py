"""mastledge: a dispatcher that pushes jobs to workers."""

__version__ = "0.2.0"
