"""Operating system signals, delivered through the event loop."""

import os
import signal
from collections.abc import Callable

from mastledge.transport.loop import READ

READ_BYTES = 64


def defer_reload() -> None:
    """Let a SIGHUP wait until `install_handlers`: before, its default action would end the process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))


def install_handlers(on_stop: Callable[[], None]) -> int:
    """Call `on_stop` on SIGTERM and SIGINT; return a descriptor from which signal numbers can be read.

    The handler of SIGHUP does nothing: it replaces the default, which ends the process. The reload runs
    outside of the handler. A SIGHUP that was deferred is delivered now.
    """
    read_end, write_end = os.pipe()
    for descriptor in (read_end, write_end):
        os.set_blocking(descriptor, False)
    signal.set_wakeup_fd(write_end, warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda number, frame: on_stop())
    signal.signal(signal.SIGHUP, lambda number, frame: None)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))
    return read_end


def watch_signals(descriptor: int, on_reload: Callable[[], None], on_signal: Callable[[], None]):
    """Coroutine: call `on_reload` after a SIGHUP, and `on_signal` after any signal."""
    while True:
        yield (descriptor, READ, None)
        if signal.SIGHUP in os.read(descriptor, READ_BYTES):
            on_reload()
        on_signal()
