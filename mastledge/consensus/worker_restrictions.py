"""Which workers a list of discovery keeps from getting new jobs, and who has to hear of it.

A dispatcher keeps off the workers that a newer list than its own restricts. A newer word never
lets anybody in.
"""

from mastledge.consensus.messages import WorkerRestrictions

READY, WHOLE, CACHED, CHANGES = "ready", "whole", "cached", "changes"
MOST_REGISTRIES = 8  # whose lists are passed on; one for each discovery that dispatchers go by
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
        return WorkerRestrictions(registry, self.generation, sorted(self.restricted.items()))

    def out(self, news):
        """Whom another's news keep off here: nobody once the own list is as new."""
        if news is None or news.generation <= self.generation:
            return frozenset()
        return frozenset(worker for worker, _ in news.workers)


class ListKnowledge:
    """What is known of one registry's list, by one's own watch or by others: who has changed since when."""

    def __init__(self):
        self.generation = 0
        self.floor = 0  # who has not heard this generation gets all that is restricted
        self.changes = {}  # worker: (state, generation of its last change), the latest change last

    def own(self, kind, entries, generation):
        """One's own registry has told a list or a change."""
        if generation < self.generation or kind == CHANGES and not self.generation:
            return  # of a change alone nobody knows what stands behind it
        if kind != CHANGES:
            named = {worker for worker, _ in entries}
            kept = {
                worker: (state, generation)
                for worker, (state, _) in self.changes.items()
                if worker not in named and state != READY
            }
            drains = {worker: (state, generation) for worker, state in entries if state != READY}
            self.changes, self.floor = {**kept, **drains}, generation
        else:
            self.note(entries, generation)
        self.generation = generation

    def note(self, entries, generation):
        for worker, state in entries:
            self.changes.pop(worker, None)
            self.changes[worker] = state, generation
        while len(self.changes) > MOST_RESTRICTED:
            oldest = next(iter(self.changes))
            self.floor = max(self.floor, self.changes.pop(oldest)[1])

    def told(self, news):
        """Another has told; whether that was new here."""
        if news.generation <= self.generation or news.since > self.generation:
            return False
        if not news.since:
            self.changes, self.floor = {}, news.generation
        self.note(news.workers, news.generation)
        self.generation = news.generation
        return True

    def since(self, generation, registry):
        """What one that has heard a generation has to hear."""
        if generation < self.floor or not generation:
            workers = [(worker, state) for worker, (state, _) in self.changes.items() if state != READY]
            return WorkerRestrictions(registry, self.generation, workers)
        workers = [(worker, state) for worker, (state, at) in self.changes.items() if at > generation]
        return WorkerRestrictions(registry, self.generation, workers, generation)

    def restricted_since(self, generation, registry):
        """Who is restricted by what came after a generation, as news for one's own host."""
        workers = [
            (worker, state)
            for worker, (state, at) in self.changes.items()
            if state != READY and at > generation
        ]
        return WorkerRestrictions(registry, self.generation, sorted(workers))


class ListExchange:
    """What a member knows of lists, and what each of those that it speaks to knows.

    Nothing is told to who was not behind the last time: mostly its own watch tells it meanwhile.
    """

    def __init__(self):
        self.registries, self.known, self.offered, self.own_generations = {}, {}, {}, {}

    def own(self, registry, kind, entries, generation):
        if generation is None or kind not in (WHOLE, CACHED, CHANGES):
            return
        self.known_list(registry).own(kind, entries, generation)
        self.own_generations[registry] = generation

    def known_list(self, registry):
        if registry not in self.registries:
            if len(self.registries) >= MOST_REGISTRIES:
                del self.registries[next(iter(self.registries))]
            self.registries[registry] = ListKnowledge()
        return self.registries[registry]

    def told(self, news):
        """News that another has told; those for one's own host, None where nothing is new."""
        known = self.known_list(news.registry)
        if not known.told(news):
            return None
        return known.restricted_since(self.own_generations.get(news.registry, 0), news.registry)

    def generations(self):
        return {registry: one.generation for registry, one in self.registries.items()}

    def reported(self, name, generations):
        """What another says that it knows."""
        self.known[name] = generations

    def news_for(self, name):
        """What has to be told to one that is still behind what it could have heard the last time."""
        known, offered = self.known.get(name, {}), self.offered.get(name, {})
        self.offered[name] = self.generations()
        return [
            one.since(known.get(registry, 0), registry)
            for registry, one in self.registries.items()
            if known.get(registry, 0) < offered.get(registry, 0)
        ]

    def forget(self, name):
        self.known.pop(name, None)
        self.offered.pop(name, None)
