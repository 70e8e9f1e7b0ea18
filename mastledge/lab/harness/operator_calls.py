"""Calls of operators that a scenario makes: one HTTP call at one dispatcher, noted with its answer."""

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

from mastledge.lab.scenario import Step
from mastledge.lab.wire import call, now

if TYPE_CHECKING:
    from mastledge.lab.process_harness import ProcessHarness


@dataclass(frozen=True, slots=True)
class OperatorRequest:
    """One request to the operators' API."""

    path: str
    content: bytes = b""
    headers: tuple[tuple[str, str], ...] = ()
    method: str = "POST"


async def call_operator(harness: "ProcessHarness", step: Step) -> None:
    """Make the call of a step and note what came of it."""
    node, began = harness.nodes[step.who], now()
    request = await request_of(harness, step)
    status, fields, text = await call(
        node.control, request.method, request.path, request.content, request.headers
    )
    if step.call == "snapshot":
        harness.snapshot, text = text.encode(), f"{len(text)} bytes"
    harness.note(
        "call",
        began=began,
        call=step.call,
        who=step.who,
        worker=step.worker,
        status=status,
        text=text.strip(),
        in_force_in=int(fields.get(b"in-force-in-ms", b"0")),
        version=int(fields.get(b"etag", b"0").strip(b'"') or 0),
    )
    harness.say(f"{step.call} {step.worker} at {step.who}: {status} {text.strip()}")


async def request_of(harness: "ProcessHarness", step: Step) -> OperatorRequest:
    """Return the request that a step of a scenario stands for."""
    match step.call:
        case "exclude" | "include":
            return OperatorRequest(f"/api/{step.call}/{step.worker}")
        case "settings":
            return await settings_request(harness, step)
        case "members":
            return members_request(harness, step)
        case "copies":
            return OperatorRequest("/api/copies", json.dumps({"count": int(step.amount)}).encode())
        case "snapshot":
            return OperatorRequest("/api/snapshot", method="GET")
        case "restore":
            return OperatorRequest("/api/restore", harness.snapshot)
        case "accept_loss" | "desert":
            return OperatorRequest("/api/restore", step.call.replace("_", "-").encode())
        case _:
            return OperatorRequest(f"/api/{step.call}")


async def settings_request(harness: "ProcessHarness", step: Step) -> OperatorRequest:
    """Return the request that changes settings, made on the version that is in force now."""
    path = "/api/settings"
    status, fields, text = await call(harness.nodes[step.who].control, "GET", path)
    settings = {**json.loads(text), **step.change} if status == 200 else step.change
    version = fields.get(b"etag", b'"0"').decode()
    return OperatorRequest(path, json.dumps(settings).encode(), (("if-match", version),))


def members_request(harness: "ProcessHarness", step: Step) -> OperatorRequest:
    """Return the request that adds or removes a member."""
    change = dict(step.change)
    if change.get("kind") == "add":
        # It is there for all under its own address; proxies stand before those of the start only.
        change["address"] = harness.nodes[change["name"]].peers
    harness.removed += change.get("kind") == "remove"
    return OperatorRequest("/api/members", json.dumps(change).encode())
