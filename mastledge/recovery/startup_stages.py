"""The steps of a start, each bounded in time: what it waits for, and the lesser service where it is in vain.

Nothing here waits: the host tells what holds, and asks which step it is at.
"""

READING, AGREEING, LISTING, TAKING, OPENING, OPEN = (
    "reading what lasts",
    "agreeing",
    "hearing the list",
    "taking over",
    "opening",
    "open",
)
ORDER = (READING, AGREEING, LISTING, TAKING, OPENING, OPEN)
# How long each may take, in microseconds, and what is done without it. Agreeing is not given up: without a
# lease nothing may be launched, and the lesser service is to say so at once.
BOUND = {READING: 2_000_000, AGREEING: 3_000_000, LISTING: 250_000, TAKING: 200_000}
WITHOUT = {
    READING: "without what its folder holds",
    AGREEING: "nothing is launched, what comes is rejected",
    LISTING: "by the list that was held before",
    TAKING: "without the others' load",
}
STAYS = (AGREEING,)


class StartupStages:
    """`step`, when it began, and `lesser`: what was done without, by step."""

    def __init__(self, now, agrees):
        self.step, self.since, self.began, self.agrees = READING, now, now, agrees
        self.lesser, self.took, self.holds, self.waits = {}, {}, {}, {}

    def told(self, step, holds, waits=""):
        """Whether what this step is there for holds, and if not what it waits for."""
        self.holds[step], self.waits[step] = holds, waits

    def look(self, now):
        """The step that it is at, once all that are done or given up are passed."""
        while self.step != OPEN:
            step = self.step
            if step == AGREEING and not self.agrees or self.holds.get(step):
                self.lesser.pop(step, None)
            elif step in BOUND and now >= self.since + BOUND[step]:
                self.lesser[step] = WITHOUT[step]
                if step in STAYS:
                    break
            else:
                break
            self.took[step] = now - self.since
            self.step, self.since = ORDER[ORDER.index(step) + 1], now
        for step in [step for step in self.lesser if self.holds.get(step)]:
            del self.lesser[step]  # it has come after all
        return self.step

    def may_serve(self):
        return self.step in (OPENING, OPEN)

    def waiting(self):
        """What it waits for, in a few words; "" where it waits for nothing."""
        if self.step == OPEN:
            return ""
        why = self.waits.get(self.step, "")
        return self.step + (f": {why}" if why else "")

    def figures(self, now):
        return {
            "step": self.step,
            "for_ms": (now - self.since) // 1000,
            "waits_for": self.waiting(),
            "lesser_service": list(self.lesser.values()),
            "took_ms": {step: took // 1000 for step, took in self.took.items()},
        }
