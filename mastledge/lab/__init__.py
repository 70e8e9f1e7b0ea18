"""The laboratory: processes, faults, load and a judge. Nothing here is needed to serve."""
