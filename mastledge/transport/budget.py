"""Descriptors shared out over clients, workers and discovery, and memory for what clients send.

Idle connections give way first.
"""

SPARE = 16  # standard streams, epoll, wake-up, listener, and a few to answer with when all is full
OPERATORS = 12  # connections of operators, which clients cannot use up
HELD = 4  # beside them: their listener and epoll, the files shared with another process
# Who goes for a new one, in this order: who said nothing, who stopped half way, who had an answer, and last
# what still comes.
CLIENTS = ("unused", "unfinished", "clients", "begun")
GIVE_WAY = {"clients": CLIENTS, "workers": ("workers",), "discovery": (), "operators": ()}
SHORT = ("unused", "unfinished", "workers", "clients", "begun")  # where the system itself has none left


class Budget:
    def __init__(self, sockets, memory, operators=False):
        self.operators = OPERATORS if operators else 0
        self.resize(sockets, memory)
        self.bytes = 0
        self.used = dict.fromkeys(self.most, 0)
        self.idle = {kind: {} for kind in SHORT}

    def resize(self, sockets, memory):
        # A body is held once as it came and once on its way to a worker, in room that grows by doubling.
        self.most_bytes = memory // 8
        total = max(8, sockets - SPARE - (self.operators and self.operators + HELD))
        # A client in hand needs a worker's connection, and some of those are still ending their last answer.
        clients = total * 12 // 25
        self.most = {
            "clients": clients,
            "workers": total - clients,
            "discovery": 2,
            "operators": self.operators,
        }

    def shrink(self):
        """Idle connections beyond what may be open now go at once; the others when they end."""
        for kind, most in self.most.items():
            while self.used[kind] > most and self.evict(*GIVE_WAY[kind]):
                pass

    def beyond(self, kind, spare=SPARE // 4):
        """Whether even the few that are answered although the budget is used up are too many."""
        return self.used[kind] >= self.most[kind] + spare and not self.evict(*GIVE_WAY[kind])

    def take(self, kind):
        """Whether one more may be opened; the one of its kind that has been idle longest goes for it."""
        if self.used[kind] >= self.most[kind] and not self.evict(*GIVE_WAY[kind]):
            return False
        self.used[kind] += 1
        return True

    def hold(self, size):
        """Whether there is memory for so much of a request; those that never become whole go for it."""
        while self.bytes + size > self.most_bytes:
            if not self.evict("unfinished", "begun"):
                return False
        self.bytes += size
        return True

    def give(self, kind):
        self.used[kind] -= 1

    def rest(self, kind, what, close):
        self.idle[kind][what] = close

    def busy(self, kind, what):
        return self.idle[kind].pop(what, None) is not None

    def evict(self, *kinds):
        """Closes the longest idle connection of these kinds; one that will not close now is passed over."""
        for kind in kinds:
            for what, close in list(self.idle[kind].items()):
                if close():
                    self.idle[kind].pop(what, None)
                    return True
        return False
