"""What two processes of one dispatcher share while one takes over from the other. It decides nothing.

Two seats, locked files, tell who is there: the kernel frees a seat at a death of any kind. What both must
know is one small file, replaced as a whole. Without a folder all of it is held by this process alone.
"""

import errno
import fcntl
import os
import time
from copy import deepcopy

import orjson

VERSION = 1
TRIES, PAUSE = 25, 0.002  # another process writes the file for a moment
OLD = 5_000_000_000  # nanoseconds, after which it is not of the process beside this one, or stale
WAITS, SOON = 100, 0.02  # it looks at a seat for a moment, or is about to end


def nothing():
    """Out by hand; when others were called back, in Unix time; the drain; seats that are ready or leaving."""
    return {
        "version": VERSION,
        "serial": 0,
        "out": [],
        "back": {},
        "draining": False,
        "ready": [],
        "leaving": [],
        "seen": {},
    }


def sound(told):
    """Whether a file's content is what this version writes."""
    return (
        isinstance(told, dict)
        and told.get("version") == VERSION
        and all(isinstance(told.get(name), type(value)) for name, value in nothing().items())
        and all(isinstance(worker, str) for worker in told["out"])
        and all(isinstance(at, int) for at in (*told["back"].values(), *told["seen"].values()))
    )


class UpgradeState:
    def __init__(self, folder, listen, log):
        self.base = os.path.join(folder, f"mastledge-{listen[0]}-{listen[1]}") if folder else None
        self.log, self.shared, self.seat = log, nothing(), 0
        self.held = self.across = self.stamp = None

    def sit(self):
        """Takes a seat. Both taken: the address is in use. No folder for it: this process stays alone."""
        if self.base is None:
            return
        try:
            for _ in range(WAITS):
                for seat in (0, 1):
                    held = self.file(f"seat{seat}")
                    try:
                        fcntl.flock(held, fcntl.LOCK_EX | fcntl.LOCK_NB)
                    except BlockingIOError:
                        os.close(held)
                        continue
                    self.seat, self.held = seat, held
                    self.across = self.file(f"seat{1 - seat}")
                    return
                time.sleep(SOON)
        except OSError as error:
            self.log("upgrade_state_disabled", why=str(error))
            self.base = None
            return
        raise OSError(errno.EADDRINUSE, "two processes serve here already")

    def place(self, name, seat):
        return f"{self.base}.{name}{seat}"

    def file(self, name):
        return os.open(f"{self.base}.{name}", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)

    def leave(self):
        for fd in (self.held, self.across):
            if fd is not None:
                os.close(fd)
        self.held = self.across = None

    def alone(self):
        if self.across is None:
            return True
        try:
            fcntl.flock(self.across, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            return False
        fcntl.flock(self.across, fcntl.LOCK_UN)
        return True

    def other_ready(self):
        # The signal comes as soon as the other says so, before the next look that is due.
        self.look()
        return 1 - self.seat in self.shared["ready"] and not self.alone()

    def says(self, seat, **places):
        """An edit of what is shared: whether a seat stands at each of these places."""

        def edit(told):
            for place, there in places.items():
                told[place] = sorted({*told[place]} - {seat} | ({seat} if there else set()))

        return edit

    def other_saw(self, serial):
        return self.alone() or self.shared["seen"].get(str(1 - self.seat), 0) >= serial

    def look(self):
        """Reads the file if it is another than the last; whether there is news."""
        if self.base is None:
            return False
        try:
            stat = os.stat(self.base + ".state")
        except OSError:
            return False
        stamp = stat.st_ino, stat.st_mtime_ns, stat.st_size
        if stamp == self.stamp:
            return False
        self.stamp = stamp
        told = self.read()
        self.shared = told or self.shared
        return told is not None

    def read(self):
        try:
            with open(self.base + ".state", "rb") as file:
                told = orjson.loads(file.read())
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            self.log("upgrade_state_unreadable", why=str(error))
            return None
        if sound(told):
            return told
        # What a later version or a slip has left must not be guessed at.
        self.log("upgrade_state_unreadable", why=f"not of version {VERSION}")
        return None

    def change(self, edit, news=True):
        """Has `edit` change what is shared; False where the other process cannot learn of it.

        News carry a number, by which the other process says that it has taken them up.
        """
        told = self.shared
        try:
            lock = self.locked()
            try:
                told = self.base and self.read() or deepcopy(told)
                edit(told)
                told["serial"] += news
                if self.base:
                    self.write(told)
            finally:
                if lock is not None:
                    os.close(lock)
        except OSError as error:
            self.log("upgrade_state_unwritten", why=str(error))
            if not self.alone():
                return False
            edit(self.shared)
            self.shared["serial"] += news
            return True
        self.shared = told
        return True

    def teach(self, learned):
        """Leaves what was learned of workers for a process that takes over."""
        if self.base is not None:
            try:
                self.put("learned", {"version": VERSION, "at": time.monotonic_ns(), "workers": learned})
            except OSError as error:
                self.log("upgrade_state_unwritten", why=str(error))

    def taught(self):
        """What the other process has learned, or nothing: not what one before it has left."""
        try:
            with open(self.base + ".learned", "rb") as file:
                told = orjson.loads(file.read())
            if told["version"] == VERSION and 0 <= time.monotonic_ns() - told["at"] <= OLD:
                return told["workers"]
        except FileNotFoundError:
            return {}
        except (OSError, ValueError, KeyError, TypeError) as error:
            self.log("upgrade_state_unreadable", why=f"{type(error).__name__}: {error}")
        return {}

    def locked(self):
        if self.base is None:
            return None
        lock = self.file("lock")
        for left in reversed(range(TRIES)):
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                return lock
            except OSError:
                if not left:
                    os.close(lock)
                    raise
                time.sleep(PAUSE)

    def put(self, name, told):
        place = f"{self.base}.new{self.seat}"
        with open(place, "wb") as file:
            file.write(orjson.dumps(told))
        os.replace(place, f"{self.base}.{name}")

    def write(self, told):
        self.put("state", told)
        stat = os.stat(self.base + ".state")
        self.stamp = stat.st_ino, stat.st_mtime_ns, stat.st_size
