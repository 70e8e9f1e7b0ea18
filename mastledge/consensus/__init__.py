"""What the dispatchers of a fleet agree on, and for how long each may act on it. No I/O, no clock of its
own.
"""
