"""Messages between dispatchers: what one has out at each worker, and which keys its jobs wanted."""

from struct import Struct

MARK = b"mst1"
MOST = 256
HEAD, LOAD, WANT = Struct(">4sHQ"), Struct(">IB"), Struct(">QH")


def encoded(told_at, loads, wants):
    """What does not fit is left out; the decisions name no more than that usually."""
    loads = loads[: (MOST - HEAD.size) // LOAD.size]
    loads = [LOAD.pack(name, min(255, round(4 * load))) for name, load in loads]
    room = (MOST - HEAD.size - LOAD.size * len(loads)) // WANT.size
    wants = [WANT.pack(key, min(65535, round(work / 1000))) for key, work in wants[:room]]
    return b"".join((HEAD.pack(MARK, len(loads), told_at), *loads, *wants))


def decoded(content):
    """When it was told, loads by worker name and work by key; None where it is no such message."""
    if not HEAD.size <= len(content) <= MOST:
        return None
    mark, count, told_at = HEAD.unpack_from(content)
    middle = HEAD.size + count * LOAD.size
    if mark != MARK or middle > len(content) or (len(content) - middle) % WANT.size:
        return None
    return (
        told_at,
        [(name, load / 4) for name, load in LOAD.iter_unpack(content[HEAD.size : middle])],
        [(key, work * 1000) for key, work in WANT.iter_unpack(content[middle:])],
    )
