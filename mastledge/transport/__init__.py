"""Sockets and time: one thread in which generators wait for them. Knows no protocol."""
