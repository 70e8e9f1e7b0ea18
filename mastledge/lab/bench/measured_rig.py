"""The process harness, played by a measurement in place of a scenario's steps."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import Any

from mastledge.lab.rig import Rig
from mastledge.lab.scenario import Scenario

Figures = dict[str, Any]


class MeasuredRig(Rig):
    """A rig whose run is one coroutine function: it gets the rig, and what it returns is `figures`."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        measure: Callable[["MeasuredRig"], Awaitable[Figures]],
        *,
        program: list[str] | None = None,
        disk: str | None = None,
    ) -> None:
        """`program` is the command line of another program; `disk` a folder for the keys and copies."""
        super().__init__(scenario, seed, program=program, disk=disk)
        self.measure = measure
        self.figures: Figures = {}

    async def play(self) -> None:
        """Carries out the measurement."""
        self.began = time.monotonic_ns() // 1000
        self.figures = await self.measure(self)


def record_of(rig: MeasuredRig) -> dict[str, Any]:
    """Runs it to its end; the record. Raises SystemExit with the reason where the run is incomplete."""
    record = asyncio.run(rig.run())
    if not record["complete"]:
        raise SystemExit(f"incomplete: {record['why']}")
    return record


def measured(rig: MeasuredRig) -> Figures:
    """Runs it to its end; its figures, and how late the rig itself was in milliseconds.

    Raises SystemExit with the reason where the run is incomplete.
    """
    record = record_of(rig)
    return {**rig.figures, "rig_late_ms": record["lag_ms"]}
