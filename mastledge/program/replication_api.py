"""Operator calls on replicated keys: figures, and a change of the replica count."""

from collections.abc import Mapping

import orjson

from mastledge.program.configuration import MAX_COPIES
from mastledge.protocol.control import Answer, Request
from mastledge.protocol.errors import CallRefusedError
from mastledge.replication.node import Node
from mastledge.replication.outputs import Verdict
from mastledge.replication.placement import Placement

COUNTED_VERDICTS = tuple(verdict for verdict in Verdict if verdict is not Verdict.REPLICATED)
STATISTICS_WITHOUT_NODE = {"owed": 0, "under_copied": 0, "under_way": 0}


def requested_count(request: Request) -> int:
    """Return the replica count of a request; raise `CallRefusedError` with status 400 if it is invalid."""
    try:
        count = orjson.loads(request.body)["count"]
        if not isinstance(count, int) or not 1 <= count <= MAX_COPIES:
            raise ValueError(f"not from 1 to {MAX_COPIES}: {count!r}")
    except (ValueError, KeyError, TypeError) as error:
        raise CallRefusedError(400, f"count: {error}") from None
    return count


def placement_figures(placement: Placement | None, configured_count: int) -> dict:
    """Return figures of the replica placement; without one, the configured replica count alone."""
    if placement is None:
        return {
            "copies": configured_count,
            "copies_after": configured_count,
            "takes_part": False,
            "epoch": 0,
            "holders": [],
            "moving_to": [],
            "caught_up": [],
        }
    return {
        "copies": placement.replica_count,
        "copies_after": placement.next_replica_count,
        "takes_part": True,
        "epoch": placement.epoch,
        "holders": sorted(placement.current),
        "moving_to": sorted(placement.next or ()),
        "caught_up": sorted(placement.caught_up),
    }


def node_figures(node: Node | None, verdict_counts: Mapping[Verdict, int], configured_count: int) -> dict:
    """Return figures of the node and its jobs; `verdict_counts` has all verdicts of this process."""
    return {
        **(STATISTICS_WITHOUT_NODE if node is None else node.coordinator.statistics()),
        **{verdict.value: verdict_counts[verdict] for verdict in COUNTED_VERDICTS},
        **placement_figures(None if node is None else node.placement, configured_count),
        "taken": 0 if node is None else node.catch_up.records_taken,
        "given": 0 if node is None else node.scan_server.records_given,
    }


def json_answer(figures: dict) -> Answer:
    """Return an answer with the figures as indented JSON."""
    text = orjson.dumps(figures, option=orjson.OPT_INDENT_2).decode()
    return Answer(200, text, [], "application/json")
