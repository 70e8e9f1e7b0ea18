"""Files that last: a locked data directory, and write-ahead logs that a thread of their own syncs.

Nothing here knows what the records mean; whoever owns a log gives it a `ReplayedState`.
"""
