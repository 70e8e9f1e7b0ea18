"""What two processes of one dispatcher share while one takes over from the other. It decides nothing.

What both must know is one small file, replaced as a whole; what the old process has learned of workers is
another. Without a folder all of it is held by this process alone.
"""

import fcntl
import os
import time
from collections.abc import Callable
from copy import deepcopy

import orjson

from mastledge.program.process_seats import ProcessSeats, SeatsTakenError, open_locked_file

VERSION = 1
LOCK_ATTEMPTS = 25
LOCK_PAUSE_S = 0.002  # another process writes the file for a moment
LEARNED_VALID_NS = 5_000_000_000  # older, it is not of the process beside this one, or stale

SharedEdit = Callable[[dict], object]


def empty_shared() -> dict:
    """Nothing shared: excluded workers; when others were included again, in Unix time (us); the drain; seats
    that are ready or leaving; which serial each seat has taken up.
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


def is_sound(shared) -> bool:
    """Whether a file's content is what this version writes."""
    return (
        isinstance(shared, dict)
        and shared.get("version") == VERSION
        and all(isinstance(shared.get(name), type(value)) for name, value in empty_shared().items())
        and all(isinstance(worker, str) for worker in shared["out"])
        and all(isinstance(at, int) for at in (*shared["back"].values(), *shared["seen"].values()))
    )


class UpgradeState:
    """The shared state as this process knows it (`shared`), and the files it stands in."""

    def __init__(self, folder: str | None, listen: tuple[str, int], log):
        """`folder` is None where nothing is shared; `listen` is the address that names the dispatcher."""
        self._base = os.path.join(folder, f"mastledge-{listen[0]}-{listen[1]}") if folder else None
        self._seats = ProcessSeats(self._base) if folder else None
        self._log = log
        self._stamp = None  # of the file that was read last
        self.shared = empty_shared()

    @property
    def enabled(self) -> bool:
        """Whether another process can share anything with this one."""
        return self._base is not None

    @property
    def state_path(self) -> str:
        """The path of the file of the shared state."""
        return f"{self._base}.state"

    @property
    def learned_path(self) -> str:
        """The path of the file of what was learned of workers."""
        return f"{self._base}.learned"

    # Seats

    @property
    def seat(self) -> int:
        """The seat of this process, 0 or 1."""
        return self._seats.seat if self._seats is not None else 0

    def take_seat(self) -> None:
        """Takes a seat; SeatsTakenError where both are taken. No folder for it: this process stays alone."""
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
        """Frees the seat."""
        if self._seats is not None:
            self._seats.leave()

    def alone(self) -> bool:
        """Whether there is no sibling process."""
        return self._seats is None or self._seats.alone()

    def seat_edit(self, seat: int, **places: bool) -> SharedEdit:
        """An edit of what is shared: whether a seat stands at each of these places."""

        def edit(shared):
            for place, stands_there in places.items():
                others = {*shared[place]} - {seat}
                shared[place] = sorted(others | {seat} if stands_there else others)

        return edit

    def sibling_ready(self) -> bool:
        """Whether the sibling process serves; read anew, as the signal comes as soon as it says so."""
        self.refresh()
        return 1 - self.seat in self.shared["ready"] and not self.alone()

    def sibling_took_up(self, serial: int) -> bool:
        """Whether the sibling's decisions hold the change of this serial, or there is no sibling."""
        return self.alone() or self.shared["seen"].get(str(1 - self.seat), 0) >= serial

    # The shared state

    def path_of(self, name: str, seat: int) -> str:
        """The path of a file or socket that belongs to a seat."""
        return f"{self._base}.{name}{seat}"

    def refresh(self) -> bool:
        """Reads the file if it is another than the last; whether there is news."""
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
        """Has `edit` change what is shared; False where the other process cannot learn of it.

        News carry a serial, by which the other process says that it has taken them up.
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
        if is_sound(shared):
            return shared
        # What a later version or a slip has left must not be guessed at.
        self._log("upgrade_state_unreadable", why=f"not of version {VERSION}")
        return None

    def _file_stamp(self):
        stat = os.stat(self.state_path)
        return stat.st_ino, stat.st_mtime_ns, stat.st_size

    # What was learned of workers

    def write_learned(self, learned) -> None:
        """Leaves what was learned of workers for a process that takes over."""
        if not self.enabled:
            return
        try:
            self._replace(
                self.learned_path, {"version": VERSION, "at": time.monotonic_ns(), "workers": learned}
            )
        except OSError as error:
            self._log("upgrade_state_unwritten", why=str(error))

    def read_learned(self) -> dict:
        """What the other process has learned, or nothing: not what one before it has left."""
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
        """A descriptor that holds the lock for writing; OSError where another holds it for too long."""
        lock = open_locked_file(f"{self._base}.lock")
        for left in reversed(range(LOCK_ATTEMPTS)):
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
                break
            except OSError:
                if not left:
                    os.close(lock)
                    raise
                time.sleep(LOCK_PAUSE_S)
        return lock

    def _replace(self, path, content):
        new_path = self.path_of("new", self.seat)
        with open(new_path, "wb") as file:
            file.write(orjson.dumps(content))
        os.replace(new_path, path)
