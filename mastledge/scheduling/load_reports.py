"""Load reports: free slots and queue length that a worker sends with its answer."""

from collections import Counter
from collections.abc import Sequence

from mastledge.scheduling.admission import AdmissionControl
from mastledge.scheduling.estimation import GAIN, FleetEstimates
from mastledge.scheduling.fleet_view import FleetView
from mastledge.scheduling.state import Launch

MAX_FREE_SLOTS, MAX_BACKLOG = 1e4, 1e6  # higher values are invalid and must not reach a load curve
NOISY_REPORTS = 50  # a value seen in at most one of this many reports is noise


class LoadReports:
    """Learns from load reports.

    `free_slot_counts`: how often each number of free slots was reported, by machine kind.
    """

    def __init__(
        self, settings: dict, fleet: FleetView, estimates: FleetEstimates, admission: AdmissionControl
    ):
        """Start with no reports."""
        self._settings, self._fleet = settings, fleet
        self._estimates, self._admission = estimates, admission
        self.free_slot_counts: dict[int, Counter] = {}

    def learn(self, launch: Launch, report: Sequence[float], now: int) -> None:
        """Learn the load of others from a report: the worker's load less this dispatcher's own part."""
        if not report or self._settings["report_how"] != "piggyback":
            return
        worker, values = launch.worker, dict(zip(self._settings["report_fields"], report, strict=False))
        free, backlog = values.get("free_slots", -1.0), values.get("backlog", 0.0)
        is_invalid = not (0 <= free < MAX_FREE_SLOTS and 0 <= backlog < MAX_BACKLOG)
        # Unchanged values are the same report repeated, only older.
        if report == worker.last_report or is_invalid:
            return
        worker.last_report = report
        self.free_slot_counts.setdefault(worker.kind, Counter())[round(free)] += 1
        mean = self._estimates.running_time.mean
        self._admission.observe_wait(int(backlog * mean / worker.slots), now)
        reported_at = now - mean
        own_load = sum(
            other.load for other in (launch, *worker.in_flight.values()) if other.sent_at < reported_at
        )
        worker.other_load, worker.other_load_at = max(0.0, worker.slots - free + backlog - own_load), now
        worker.usual_other_load += GAIN * (worker.other_load - worker.usual_other_load)

    def recompute(self) -> bool:
        """Set the slots of workers by their kind, once a second; return False if none were reported."""
        slots_of_kind = {kind: _max_free_slots(counts) for kind, counts in self.free_slot_counts.items()}
        for worker in self._fleet.ready if slots_of_kind else ():
            slots = max(1.0, slots_of_kind.get(worker.kind, worker.slots))
            worker.peak = max(worker.peak, slots) if self._settings["tells_start"] else slots
            worker.slots = worker.peak
        return bool(slots_of_kind)


def _max_free_slots(counts: Counter) -> int:
    """Return the highest number of free slots, without noise."""
    total = sum(counts.values())
    return max(free for free, count in counts.items() if NOISY_REPORTS * count > total)
