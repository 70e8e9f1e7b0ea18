"""Two processes of one dispatcher while one takes over: one folder, one that speaks to the other dispatchers.

Who holds the folder speaks. The other goes by what it is told in a small file, addressed to it alone, as
long as the lease in there lasts, and says in another file what it has taken up. docs/consensus.md has the
reasons.
"""

import os

import orjson

VERSION = 1


class SharedLease:
    """The two files. What can't be read or written is as if nothing had been told: leases run out by
    themselves.
    """

    def __init__(self, folder, log):
        self.folder, self.log, self.pid = folder, log, os.getpid()
        self.written = None

    def place(self, name):
        return os.path.join(self.folder, name)

    def put(self, name, told):
        place = self.place(f"{name}.{self.pid}")
        try:
            with open(place, "wb") as file:
                file.write(orjson.dumps({"format": VERSION, "from": self.pid, **told}))
            os.replace(place, self.place(name))
        except OSError as error:
            self.log("shared_lease_unwritten", why=str(error))
            return False
        return True

    def read(self, name):
        try:
            with open(self.place(name), "rb") as file:
                told = orjson.loads(file.read())
        except (OSError, ValueError):
            return None
        return told if isinstance(told, dict) and told.get("format") == VERSION else None

    def drop(self, name):
        try:
            os.unlink(self.place(name))
        except OSError:
            pass

    # Who speaks

    def say(self, to, index, lease_until, state):
        """Tells the other process what is agreed and until when it may act on it."""
        told = (to, index, lease_until // 50_000)
        if told == self.written:
            return True
        if self.put("said", {"to": to, "index": index, "lease_until": lease_until, "state": state}):
            self.written = told
            return True
        return False

    def listener(self):
        """The other process and the entry that it has taken up, as far as it says so."""
        told = self.read("taken")
        return (told["from"], told["index"]) if told and told["from"] != self.pid else (None, 0)

    def alone(self):
        """Nobody is there any more: what was said must not be found by the next one."""
        if self.written is not None:
            self.written = None
            self.drop("said")
            self.drop("taken")

    # Who listens

    def hear(self):
        told = self.read("said")
        return told if told and told["to"] == self.pid else None

    def take(self, index):
        self.put("taken", {"index": index})
