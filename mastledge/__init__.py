"""mastledge: a dispatcher that pushes jobs to workers."""
