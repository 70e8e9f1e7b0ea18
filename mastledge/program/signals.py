"""Signals of the operating system, handed to the event loop."""

import os
import signal
from collections.abc import Callable

from mastledge.transport.loop import READ

READ_BYTES = 64


def install_handlers(on_stop: Callable[[], None]) -> int:
    """Has SIGTERM and SIGINT call `on_stop`; a descriptor from which each signal's number can be read.

    SIGHUP does nothing by itself: left to the system it would end the process, and what it asks for is done
    outside of the handler.
    """
    reads, writes = os.pipe()
    for descriptor in (reads, writes):
        os.set_blocking(descriptor, False)
    signal.set_wakeup_fd(writes, warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda number, frame: on_stop())
    signal.signal(signal.SIGHUP, lambda number, frame: None)
    return reads


def watch_signals(descriptor: int, on_reload: Callable[[], None], on_signal: Callable[[], None]):
    """Coroutine: calls `on_reload` after a SIGHUP, and `on_signal` after any signals."""
    while True:
        yield (descriptor, READ, None)
        if signal.SIGHUP in os.read(descriptor, READ_BYTES):
            on_reload()
        on_signal()
