"""What a process that takes over starts from: its form stays, as it is stored and handed over."""

from mastledge.scheduling.outliers import Ejection


def learned_state(workers: list) -> dict[str, list]:
    """By the text of ids: slots, most load seen running, slowness, and ejections with their reasons."""
    return {
        str(worker.id): [
            worker.slots,
            worker.peak,
            worker.slow,
            [[reason, ejection.stored()] for reason, ejection in worker.ejections.items()],
        ]
        for worker in workers
    }


def restore_learned(workers: list, learned: dict[str, list], now: int) -> None:
    """Takes over such a state. A fifth figure is load that a former incarnation of the dispatcher has there.

    0 or None for one of the first three leaves it as it is. KeyError for an ejection that lacks a field.
    """
    for worker in workers:
        slots, peak, slow, ejections, *former_load = learned.get(str(worker.id), (0, 0, 0, ()))
        worker.slots, worker.peak = slots or worker.slots, peak or worker.peak
        worker.slow = slow or worker.slow
        worker.ejections = {reason: Ejection.from_stored(stored) for reason, stored in ejections}
        if former_load:
            worker.other_load, worker.other_load_at = former_load[0], now
