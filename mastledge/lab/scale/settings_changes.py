"""Changes of the settings, while a scale run is measured."""

import asyncio
import time
from collections import Counter
from typing import Any

import orjson

from mastledge.lab.scale.consensus_state import consensus_state
from mastledge.lab.scale.figures import spread
from mastledge.lab.scale.fleet import CALL_SECONDS
from mastledge.lab.scale.processes import DispatcherProcess
from mastledge.lab.wire import call

AGREED_STATUSES = (200, 202)


class SettingsChanges:
    """Changes the settings at a rate, at dispatchers in turn; each change names the version before."""

    def __init__(self, nodes: list[DispatcherProcess], settings: dict[str, Any]) -> None:
        """`settings` are those that the fleet begins with."""
        self.nodes, self.settings = nodes, settings
        self.statuses: Counter[int] = Counter()
        self.in_force_ms: list[float] = []

    async def play(self, per_second: float) -> None:
        """One quota after the other is changed, until it is cancelled."""
        count, version = 0, None
        began = time.monotonic()
        while True:
            count += 1
            await asyncio.sleep(max(0, began + count / per_second - time.monotonic()))
            node = self.nodes[count % len(self.nodes)]
            if version is None:
                version = (await consensus_state(node)).get("settings_version")
            version = await self.change(node, count, version)

    def changed_settings(self, count: int) -> dict[str, Any]:
        """The settings with one quota, and one time, changed."""
        tenants = [dict(tenant) for tenant in self.settings["tenants"]]
        if tenants:
            tenants[count % len(tenants)]["quotaPerS"] = 40.0 + count % 10
        return {**self.settings, "tenants": tenants, "stepMs": 4.0 + count % 2}

    async def change(self, node: DispatcherProcess, count: int, version: int | None) -> int | None:
        """One change; the version that stands afterwards, None where it is not known."""
        changed = self.changed_settings(count)
        began = time.monotonic()
        status, headers, _ = await call(
            node.control,
            "POST",
            "/api/settings",
            orjson.dumps(changed),
            [("if-match", f'"{version}"')],
            CALL_SECONDS,
        )
        self.statuses[status] += 1
        if status not in AGREED_STATUSES:
            return None
        self.settings = changed
        waits_ms = int(headers.get(b"in-force-in-ms", b"0"))  # at the latest, where it is not in force yet
        self.in_force_ms.append((time.monotonic() - began) * 1000 + waits_ms)
        return int(headers[b"etag"].strip(b'W/" '))

    def figures(self) -> dict[str, Any]:
        """Times until changes were in force everywhere, answers by status, and the size of the settings."""
        return {
            "in_force_ms": spread(self.in_force_ms),
            "changes": {str(status): count for status, count in sorted(self.statuses.items())},
            "settings_bytes": len(orjson.dumps(self.settings)),
        }
