"""The thread that writes: whoever hands records in goes on at once, and hears of them when they are on the
disk.
"""

import os
import threading
from collections import deque
from queue import Empty, SimpleQueue
from time import monotonic_ns

COMPACT = 1 << 20  # bytes of a journal above which it is written anew, and twice what it was then
GROUP = 64  # hand-ins that become one frame and one sync


class Writer:
    """`save(token, records)` and `rewrite(token, records)`; `done()` gives what has ended as (token, error
    or None).

    `fd` is readable when there is something to be taken. After an error all fails until a rewrite goes well.
    """

    def __init__(self, journal):
        self.journal, self.todo, self.ended = journal, SimpleQueue(), deque()
        self.fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self.failed, self.compact_at = False, max(COMPACT, 2 * journal.size)
        self.longest = self.syncs = 0  # microseconds; figures
        self.thread = threading.Thread(target=self.run, name="writer", daemon=True)
        self.thread.start()

    def save(self, token, records):
        self.todo.put((token, records, False))

    def rewrite(self, token, records):
        self.todo.put((token, records, True))

    def done(self):
        try:
            os.eventfd_read(self.fd)
        except BlockingIOError:
            pass
        out = []
        while self.ended:
            out.append(self.ended.popleft())
        return out

    def close(self):
        """Writes what is left, then ends."""
        self.todo.put(None)
        self.thread.join(5)
        self.journal.close()
        os.close(self.fd)

    def run(self):
        item = self.todo.get()
        while item is not None:
            group, item = [item], self.next()
            while item and len(group) < GROUP and not group[0][2] and not item[2]:
                group.append(item)
                item = self.next()
            self.write(group)
            item = self.todo.get() if item is False else item

    def next(self):
        """What has come meanwhile, False where nothing has."""
        try:
            return self.todo.get_nowait()
        except Empty:
            return False

    def write(self, group):
        began, error = monotonic_ns(), None
        records = [record for _, some, _ in group for record in some]
        try:
            if group[0][2]:
                self.journal.rewrite(records)
                self.failed = False
            elif self.failed:
                raise OSError(0, "what came before is not on the disk")
            else:
                self.journal.append(records)
        except (OSError, ValueError) as failure:
            self.failed, error = True, failure
        self.longest, self.syncs = max(self.longest, (monotonic_ns() - began) // 1000), self.syncs + 1
        for token, _, _ in group:
            self.ended.append((token, error))
        os.eventfd_write(self.fd, 1)
        if error is None and self.journal.keep is not None:
            # Nobody waits for this; should it fail, so does what is handed in next.
            try:
                self.follow(records, group[0][2])
            except (OSError, ValueError):
                self.failed = True

    def follow(self, records, whole):
        """Keeps what the file amounts to, so that a long one can be written anew by itself."""
        keep = self.journal.keep
        if whole:
            keep.reset()
        for record in records:
            keep.apply(record)
        if self.journal.size > self.compact_at:
            self.journal.rewrite(keep.compacted_records())
            self.compact_at = max(COMPACT, 2 * self.journal.size)
