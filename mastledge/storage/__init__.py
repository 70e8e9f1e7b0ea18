"""Durable files: a locked data directory, and write-ahead logs that are each written by a separate thread.

The package does not interpret records; the owner of a log provides a `ReplayedState`.
"""
