"""Load messages between dispatchers: the sender's load on each worker, and the work requested per key.

Layout, big endian: a magic number of four bytes, the number of loads (u16) and the sender's time (u64); then
for each load the worker's number (u32) and four times the load (u8); then for each key its hash (u64) and the
requested work in milliseconds (u16).
"""

from collections.abc import Sequence
from struct import Struct

MARK = b"mst1"
MAX_MESSAGE_BYTES = 256
HEAD, LOAD, KEY_WORK = Struct(">4sHQ"), Struct(">IB"), Struct(">QH")
LOAD_UNITS = 4  # encoded value of a load of one job
MAX_LOAD, MAX_WORK_MS = 255, 65535


def encoded(sent_at: int, loads: Sequence[tuple[int, float]], key_work: Sequence[tuple[int, float]]) -> bytes:
    """Encode loads by worker and work in microseconds by key.

    Entries that do not fit are left out; the scheduler rarely passes that many.
    """
    loads = loads[: (MAX_MESSAGE_BYTES - HEAD.size) // LOAD.size]
    loads = [LOAD.pack(worker, min(MAX_LOAD, round(LOAD_UNITS * load))) for worker, load in loads]
    space = (MAX_MESSAGE_BYTES - HEAD.size - LOAD.size * len(loads)) // KEY_WORK.size
    key_work = [KEY_WORK.pack(key, min(MAX_WORK_MS, round(work / 1000))) for key, work in key_work[:space]]
    return b"".join((HEAD.pack(MARK, len(loads), sent_at), *loads, *key_work))


def decoded(content: bytes) -> tuple[int, list[tuple[int, float]], list[tuple[int, int]]] | None:
    """Return the send time, loads by worker and work in microseconds by key; None if it is malformed."""
    if not HEAD.size <= len(content) <= MAX_MESSAGE_BYTES:
        return None
    mark, count, sent_at = HEAD.unpack_from(content)
    loads_end = HEAD.size + count * LOAD.size
    if mark != MARK or loads_end > len(content) or (len(content) - loads_end) % KEY_WORK.size:
        return None
    return (
        sent_at,
        [(worker, load / LOAD_UNITS) for worker, load in LOAD.iter_unpack(content[HEAD.size : loads_end])],
        [(key, work * 1000) for key, work in KEY_WORK.iter_unpack(content[loads_end:])],
    )
