"""How late this process itself runs: no time that it measures is better than that."""

import asyncio
import time

PERIOD_SECONDS = 0.01


class LoopLag:
    """Watches the event loop; `longest_seconds` is the longest that it was late."""

    def __init__(self) -> None:
        """Begins with no delay seen."""
        self.longest_seconds = 0.0

    async def watch(self) -> None:
        """Looks period after period, until it is cancelled."""
        while True:
            began = time.monotonic()
            await asyncio.sleep(PERIOD_SECONDS)
            self.longest_seconds = max(self.longest_seconds, time.monotonic() - began - PERIOD_SECONDS)
