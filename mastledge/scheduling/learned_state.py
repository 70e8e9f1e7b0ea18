"""Learned state that a successor process starts from; its form is fixed, as it is stored and handed over."""

from mastledge.scheduling.outliers import Ejection


def learned_state(workers: list) -> dict[str, list]:
    """Return slots, peak load, slowness and ejections with their reasons, by worker id as text."""
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
    """Restore learned state. An optional fifth value is the load left by an earlier dispatcher incarnation.

    0 or None for slots, peak or slowness leaves that value unchanged. Raise KeyError if an ejection lacks a
    field.
    """
    for worker in workers:
        slots, peak, slow, ejections, *former_load = learned.get(str(worker.id), (0, 0, 0, ()))
        worker.slots, worker.peak = slots or worker.slots, peak or worker.peak
        worker.slow = slow or worker.slow
        worker.ejections = {reason: Ejection.from_stored(stored) for reason, stored in ejections}
        if former_load:
            worker.other_load, worker.other_load_at = former_load[0], now
