"""The state that two processes of one dispatcher share during an upgrade.

The shared state is one small file that is replaced atomically; the state that the old process has learned
about workers is another. Without a folder this process keeps the state in memory only.
"""

import fcntl
import os
import time
from collections.abc import Callable
from copy import deepcopy

import orjson

from mastledge.program.process_seats import ProcessSeats, SeatsTakenError, open_lock_file

VERSION = 1
LOCK_ATTEMPTS = 25
LOCK_PAUSE_S = 0.002  # another process holds the lock only while it writes the file
LEARNED_VALID_NS = 5_000_000_000  # an older file is stale or was left by an earlier process

SharedEdit = Callable[[dict], object]


def empty_shared_state() -> dict:
    """Return an empty shared state.

    `out` lists excluded workers; `back` holds when workers were included again, in Unix time (us); `ready`
    and `leaving` list seats; `seen` holds the serial that each seat has applied.
    """
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


def is_valid_shared_state(shared) -> bool:
    """Return whether a file's content has the format of this version."""
    return (
        isinstance(shared, dict)
        and shared.get("version") == VERSION
        and all(isinstance(shared.get(name), type(value)) for name, value in empty_shared_state().items())
        and all(isinstance(worker, str) for worker in shared["out"])
        and all(isinstance(at, int) for at in (*shared["back"].values(), *shared["seen"].values()))
    )


class UpgradeState:
    """Holds the shared state as this process knows it (`shared`) and reads and writes its files."""

    def __init__(self, folder: str | None, listen: tuple[str, int], log):
        """Create the state; `folder` is None for no sharing, `listen` identifies the dispatcher."""
        self._base = os.path.join(folder, f"mastledge-{listen[0]}-{listen[1]}") if folder else None
        self._seats = ProcessSeats(self._base) if folder else None
        self._log = log
        self._stamp = None  # inode, modification time (ns) and size of the state file that was read last
        self.shared = empty_shared_state()

    @property
    def enabled(self) -> bool:
        """Return whether this process can share state with another process."""
        return self._base is not None

    @property
    def state_path(self) -> str:
        """Return the path of the shared state's file."""
        return f"{self._base}.state"

    @property
    def learned_path(self) -> str:
        """Return the path of the file with the learned state of workers."""
        return f"{self._base}.learned"

    # Seats

    @property
    def seat(self) -> int:
        """Return the seat of this process, 0 or 1."""
        return self._seats.seat if self._seats is not None else 0

    def take_seat(self) -> None:
        """Take a seat; raise SeatsTakenError if both are taken.

        If the folder cannot be used, sharing is disabled and this process runs without a sibling.
        """
        if self._seats is None:
            return
        try:
            self._seats.take()
        except SeatsTakenError:
            raise
        except OSError as error:
            self._log("upgrade_state_disabled", why=str(error))
            self._base = self._seats = None

    def leave(self) -> None:
        """Release the seat."""
        if self._seats is not None:
            self._seats.leave()

    def alone(self) -> bool:
        """Return whether there is no sibling process."""
        return self._seats is None or self._seats.alone()

    def seat_edit(self, seat: int, **flags: bool) -> SharedEdit:
        """Return an edit of the shared state that sets flags of a seat, `ready` or `leaving`."""

        def edit(shared):
            for flag, is_set in flags.items():
                others = {*shared[flag]} - {seat}
                shared[flag] = sorted(others | {seat} if is_set else others)

        return edit

    def sibling_ready(self) -> bool:
        """Return whether the sibling is ready.

        Read the file first, as SIGTERM may come right after the sibling has reported that it is ready.
        """
        self.refresh()
        return 1 - self.seat in self.shared["ready"] and not self.alone()

    def sibling_has_applied(self, serial: int) -> bool:
        """Return whether the sibling's scheduler has applied the change `serial`; True without a sibling."""
        return self.alone() or self.shared["seen"].get(str(1 - self.seat), 0) >= serial

    # The shared state

    def path_of(self, name: str, seat: int) -> str:
        """Return the path of a file or socket that belongs to a seat."""
        return f"{self._base}.{name}{seat}"

    def refresh(self) -> bool:
        """Read the shared state if its file has changed; return whether a valid state was read."""
        if not self.enabled:
            return False
        try:
            stamp = self._file_stamp()
        except OSError:
            return False
        if stamp == self._stamp:
            return False
        self._stamp = stamp
        shared = self._read()
        self.shared = shared or self.shared
        return shared is not None

    def change(self, edit: SharedEdit, news: bool = True) -> bool:
        """Apply `edit` to the shared state; return False if the sibling process cannot read the result.

        With `news` the serial is incremented, so that the sibling applies and acknowledges the change.
        """
        try:
            self.shared = (
                self._edited_file(edit, news) if self.enabled else self._edited(self.shared, edit, news)
            )
        except OSError as error:
            self._log("upgrade_state_unwritten", why=str(error))
            if not self.alone():
                return False
            self.shared = self._edited(self.shared, edit, news)
        return True

    def _edited_file(self, edit, news):
        lock = self._lock()
        try:
            shared = self._edited(self._read() or self.shared, edit, news)
            self._replace(self.state_path, shared)
            self._stamp = self._file_stamp()
        finally:
            os.close(lock)
        return shared

    @staticmethod
    def _edited(shared, edit, news):
        shared = deepcopy(shared)
        edit(shared)
        shared["serial"] += news
        return shared

    def _read(self):
        try:
            with open(self.state_path, "rb") as file:
                shared = orjson.loads(file.read())
        except FileNotFoundError:
            return None
        except (OSError, ValueError) as error:
            self._log("upgrade_state_unreadable", why=str(error))
            return None
        if is_valid_shared_state(shared):
            return shared
        # A file of another version, or a damaged one, is not interpreted.
        self._log("upgrade_state_unreadable", why=f"the shared state does not have format version {VERSION}")
        return None

    def _file_stamp(self):
        stat = os.stat(self.state_path)
        return stat.st_ino, stat.st_mtime_ns, stat.st_size

    # Learned state of workers

    def write_learned(self, learned) -> None:
        """Write the learned state of workers for a process that takes over."""
        if not self.enabled:
            return
        try:
            self._replace(
                self.learned_path, {"version": VERSION, "at": time.monotonic_ns(), "workers": learned}
            )
        except OSError as error:
            self._log("upgrade_state_unwritten", why=str(error))

    def read_learned(self) -> dict:
        """Return the sibling's learned state of workers, or {} if there is none or it is too old."""
        try:
            with open(self.learned_path, "rb") as file:
                learned = orjson.loads(file.read())
            age_ns = time.monotonic_ns() - learned["at"]
            if learned["version"] == VERSION and 0 <= age_ns <= LEARNED_VALID_NS:
                return learned["workers"]
        except FileNotFoundError:
            return {}
        except (OSError, ValueError, KeyError, TypeError) as error:
            self._log("upgrade_state_unreadable", why=f"{type(error).__name__}: {error}")
        return {}

    # Files

    def _lock(self):
        """Return a descriptor that holds the write lock; raise OSError if it stays taken."""
        lock = open_lock_file(f"{self._base}.lock")
        for attempts_left in reversed(range(LOCK_ATTEMPTS)):
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                break
            except OSError:
                if not attempts_left:
                    os.close(lock)
                    raise
                time.sleep(LOCK_PAUSE_S)
        return lock

    def _replace(self, path, content):
        new_path = self.path_of("new", self.seat)
        with open(new_path, "wb") as file:
            file.write(orjson.dumps(content))
        os.replace(new_path, path)
