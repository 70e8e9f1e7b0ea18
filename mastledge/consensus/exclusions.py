"""Workers that operators keep from new jobs."""

from mastledge.consensus.errors import ChangeRefusedError, RefusalStatus


def exclude_worker(state: dict, change: dict) -> None:
    """Apply a committed exclusion to the state document."""
    worker = change["worker"]
    if worker in state["out"]:
        raise ChangeRefusedError("it is out already", RefusalStatus.ALREADY_SO)
    state["out"] = sorted([*state["out"], worker])
    state["back"].pop(worker, None)


def include_worker(state: dict, change: dict) -> None:
    """Apply a committed end of an exclusion; `at` and `cold_for` are microseconds, `at` since 1970."""
    worker = change["worker"]
    if worker not in state["out"]:
        raise ChangeRefusedError("it is not out", RefusalStatus.ALREADY_SO)
    state["out"].remove(worker)
    # It may have restarted unseen and counts as cold from then on; who came back earlier is not remembered.
    oldest = change["at"] - change["cold_for"]
    state["back"] = {other: at for other, at in state["back"].items() if at > oldest}
    state["back"][worker] = change["at"]
