"""What a process leaves behind: connections of clients that it still holds, and files of its own."""

import os
import socket
import struct

from mastledge.lab.wire import address

TCP_TABLE = "/proc/net/tcp"
HELD_STATES = ("01", "08")  # ESTABLISHED and CLOSE_WAIT: a process holds the socket
# The files that last beside a dispatcher, by the ends of their names; all others belong to a process.
LASTING_TEMPORARY_FILES = (".state", ".learned", ".lock", ".seat0", ".seat1")
PARTIAL_FILE = ".new"


def client_connections(listen: str) -> int:
    """Return how many connections to the address `host:port` a process still holds on the server's side."""
    host, port = address(listen)
    (packed,) = struct.unpack("=I", socket.inet_aton(host))
    local = f"{packed:08X}:{port:04X}"
    with open(TCP_TABLE) as table:
        rows = [line.split() for line in table.readlines()[1:]]
    return sum(row[1] == local and row[3] in HELD_STATES for row in rows)


def files_left(folder: str) -> list[str]:
    """Return the files below a dispatcher's folder that should be gone once its processes have ended."""
    left = []
    for directory, _, names in os.walk(folder):
        is_temporary = os.path.basename(directory) == "tmp"
        for name in names:
            lasts = name.endswith(LASTING_TEMPORARY_FILES) if is_temporary else PARTIAL_FILE not in name
            if not lasts:
                left.append(os.path.relpath(os.path.join(directory, name), folder))
    return sorted(left)
