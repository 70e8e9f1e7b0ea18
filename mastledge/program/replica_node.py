"""Runs a replication node: passes inputs and ticks to it, and carries out its outputs."""

from collections.abc import Callable, Mapping

from mastledge.replication.inputs import Input, Tick
from mastledge.replication.node import Node
from mastledge.replication.outputs import Output
from mastledge.transport.loop import Coroutine, Task

MIN_TICK_US = 500  # shortest interval between two ticks


class ReplicaNode:
    """Holds the replication node, None while there is none, and its timer."""

    def __init__(self, loop, output_handlers: Mapping[type[Output], Callable[[Output], None]]):
        """Take the handler of each type of output in `output_handlers`."""
        self._loop, self._output_handlers = loop, output_handlers
        self.node: Node | None = None
        self._timer: Task | None = None
        self.longest_step_us = 0

    def start(self, node: Node) -> None:
        """Start passing inputs to `node`."""
        self.node = node

    def stop(self) -> None:
        """Drop the node, so that later inputs are ignored."""
        self.node = None

    def wake_on(self, timer: Task) -> None:
        """Set the task that runs `tick`; it is woken when the next tick moves to an earlier time."""
        self._timer = timer

    def handle(self, input_: Input) -> None:
        """Pass an input to the node and carry out its outputs; raise ClaimNameError for a bad claim name."""
        node = self.node
        if node is None:
            return
        began, previous_due = self._loop.now(), node.wake_at()
        for output in node.step(began, input_):
            self._output_handlers[type(output)](output)
        due = node.wake_at()
        if not isinstance(input_, Tick) and due is not None and (previous_due is None or due < previous_due):
            self._loop.wake(self._timer)
        self.longest_step_us = max(self.longest_step_us, self._loop.now() - began)

    def tick(self) -> Coroutine:
        """Run as a coroutine that passes a tick to the node whenever a tick is due."""
        while True:
            due = self._due()
            yield (-1, 0, None if due is None else max(due, self._loop.now() + MIN_TICK_US))
            due = self._due()
            if due is not None and due <= self._loop.now():
                self.handle(Tick())

    def _due(self) -> int | None:
        return self.node.wake_at() if self.node is not None else None
