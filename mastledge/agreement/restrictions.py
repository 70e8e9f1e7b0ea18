"""Which workers a list of discovery keeps from getting new jobs, and who has to hear of it.

A dispatcher keeps off the workers that a newer list than its own restricts. A newer word never
lets anybody in.
"""

from mastledge.agreement.messages import News

READY, WHOLE, CHANGES = "ready", "whole", "changes"
MOST_RESTRICTED = 4096  # workers that are draining or gone; the oldest ones are forgotten beyond that


class OwnList:
    """What a dispatcher's own registry has told it."""

    def __init__(self):
        self.restricted, self.generation = {}, 0

    def listed(self, kind, entries, generation):
        """Takes over a whole list or a change, entries as (id, state); whether it is a newer one.

        `generation` is that of the list, None where nothing is known of it.
        """
        if kind == WHOLE:
            # Who is not named any more may be gone, and stays restricted.
            named = {worker for worker, _ in entries}
            self.restricted = {
                worker: state for worker, state in self.restricted.items() if worker not in named
            }
        for worker, state in entries:
            if state == READY:
                self.restricted.pop(worker, None)
            else:
                self.restricted[worker] = state
                if len(self.restricted) > MOST_RESTRICTED:
                    del self.restricted[next(iter(self.restricted))]
        if generation is None or kind not in (WHOLE, CHANGES):
            return False
        fresh, self.generation = generation > self.generation, generation
        return fresh

    def news(self, registry):
        """What others of the same registry have to hear."""
        return News(registry, self.generation, sorted(self.restricted.items()))

    def out(self, news):
        """Whom another's news keep off here: nobody once the own list is as new."""
        if news is None or news.generation <= self.generation:
            return frozenset()
        return frozenset(worker for worker, _ in news.workers)
