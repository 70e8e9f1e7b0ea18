"""Workers that operators have excluded from new jobs."""

from mastledge.consensus.errors import ChangeRefusedError, RefusalStatus


def exclude_worker(state: dict, change: dict) -> None:
    """Apply a committed exclusion of a worker to the state document."""
    worker = change["worker"]
    if worker in state["out"]:
        raise ChangeRefusedError("it is out already", RefusalStatus.ALREADY_APPLIED)
    state["out"] = sorted([*state["out"], worker])
    state["back"].pop(worker, None)


def include_worker(state: dict, change: dict) -> None:
    """Apply the committed end of a worker's exclusion to the state document.

    `at` is in microseconds since 1970, `cold_for` a duration in microseconds.
    """
    worker = change["worker"]
    if worker not in state["out"]:
        raise ChangeRefusedError("it is not out", RefusalStatus.ALREADY_APPLIED)
    state["out"].remove(worker)
    # The worker may have restarted while excluded, so it counts as cold; older entries are dropped.
    oldest = change["at"] - change["cold_for"]
    state["back"] = {
        other: included_at for other, included_at in state["back"].items() if included_at > oldest
    }
    state["back"][worker] = change["at"]
