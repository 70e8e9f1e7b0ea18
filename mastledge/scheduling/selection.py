"""Worker selection (Fang et al., section 4.4): least contention, then Worst-Fit, then a random draw."""

from itertools import chain, islice

from mastledge.scheduling.affinity import KeyAffinity
from mastledge.scheduling.eligibility import Eligibility
from mastledge.scheduling.fleet_view import FleetView
from mastledge.scheduling.other_load import OtherLoad
from mastledge.scheduling.prediction import contention, slowness
from mastledge.scheduling.random_source import RandomSource
from mastledge.scheduling.state import Job, Worker
from mastledge.scheduling.subset import CandidateSubset

FETCH_CONTENTION_WEIGHT = 8  # a fetch evicts another key, which must be fetched again, so it counts more
MIN_CONSIDERED = 4


class WorkerSelector:
    """Selects the worker for a launch."""

    def __init__(  # noqa: PLR0913 - the parts that a selection depends on
        self,
        settings: dict,
        random: RandomSource,
        fleet: FleetView,
        subset: CandidateSubset,
        affinity: KeyAffinity,
        eligibility: Eligibility,
        other_load: OtherLoad,
    ):
        """Use the given parts; no state is kept here."""
        self._settings, self._random = settings, random
        self._fleet, self._subset, self._affinity = fleet, subset, affinity
        self._eligibility, self._other_load = eligibility, other_load

    def pick(self, job: Job, now: int, group_worker: Worker | None) -> tuple[Worker | None, float]:
        """Return the worker for the job, and the predicted wait there in microseconds.

        `group_worker`: a worker whose group the launch must stay in; None: any group. Return (None, 0.0) if
        no worker is eligible. The result is a plain tuple, as this is the most expensive step of a decision.
        """
        special = bool(job.launches) or job.queue_type.kind >= 0
        ranked, least = self._ranked(job, now, group_worker, special)
        if not ranked:
            return None, 0.0
        best = self._draw_of_best(job, ranked, least)
        subset = self._subset
        if subset.has_non_members and not special and not subset.is_member(best):
            subset.replace_one(best)
        return best, self._other_load.predicted_wait(best, job, now)

    def _candidates(self, special):
        """Return the subset, then all workers from a random start; special jobs skip the subset."""
        subset, ready = self._subset, self._fleet.ready
        first = int(self._random.chance() * len(ready))
        members = () if special else subset.members
        if not special and not subset.has_non_members:
            return members
        return chain(members, islice(ready, first, None), islice(ready, first))

    def _ranked(self, job, now, group_worker, special):  # noqa: C901 - one loop without calls, for speed
        """Return the eligible workers with their ranks, and the least rank: (contention, integrated load).

        To save CPU this is one loop over locals, and calls whose result is known are skipped.
        """
        settings, subset = self._settings, self._subset
        is_eligible, other_load_at = self._eligibility.is_eligible, self._other_load.at
        fetch_time = self._affinity.fetch_time
        load, late, key = job.load, int(job.variation), job.key
        upper_bound = job.mean + job.variation
        has_reports = self._other_load.any_reported()
        candidates, homes = self._candidates(special), frozenset(self._affinity.homes_of(key))
        fewest_seen, most_seen = max(MIN_CONSIDERED, len(subset.members)), subset.max_considered
        ranked, least = [], None
        for seen, worker in enumerate(candidates):
            # Looks beyond the subset only while no worker is free, and no further than the CPU budget allows.
            if seen >= fewest_seen and ranked and (least[0] <= 0 or seen >= most_seen):
                break
            if (worker.ejections or worker.warming_up or special) and not is_eligible(
                worker, job, now, group_worker
            ):
                continue
            slow = slowness(worker, now, settings) if worker.warming_up else worker.slow
            has_others = worker.running < worker.load or worker.other_load
            has_others = has_others or (has_reports and (worker.usual_other_load or worker.gossiped_load))
            other_load = other_load_at(worker, now) if has_others else 0.0
            fetch = fetch_time(key, worker, homes) if homes else 0.0
            span = int(upper_bound * slow + fetch)
            if worker.load_curve or other_load:
                rank = contention(worker, now, span, load, late, other_load)
            else:
                rank = 0.0, load * span
            if fetch or (has_reports and worker.last_report):
                # Ranks by the free capacity, not the load alone, as machine kinds differ in slots. A fetch
                # counts as contention, as a slot that waits for one does no work.
                capacity = worker.slots * int(upper_bound) if worker.last_report else 0.0
                rank = rank[0] + FETCH_CONTENTION_WEIGHT * load * fetch, rank[1] - capacity
            ranked.append((rank, worker))
            if least is None or rank < least:
                least = rank
        return ranked, least

    def _draw_of_best(self, job, ranked, least):
        """Draw among workers of least contention and about the least load, if possible in the own zone.

        Integrated loads that differ by no more than the job's variation count as equal.
        """
        least_contention, max_load = least[0], least[1] + job.load * job.variation
        tied = [worker for rank, worker in ranked if rank[0] == least_contention and rank[1] <= max_load]
        if self._settings["price_crossing"]:
            zone = self._settings["zone"]
            tied = [worker for worker in tied if worker.zone == zone] or tied
        return self._random.draw_by_size(tied)
