"""Files that last: checksummed records, synced by a thread of their own. Knows nothing of their sense."""
