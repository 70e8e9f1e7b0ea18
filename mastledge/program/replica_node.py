"""Drives a replication node: hands it inputs and ticks, and carries out its outputs."""

from collections.abc import Callable, Mapping

from mastledge.replication.inputs import Input, Tick
from mastledge.replication.node import Node
from mastledge.replication.outputs import Output
from mastledge.transport.loop import Coroutine, Task

MIN_TICK_US = 500  # between two ticks


class ReplicaNode:
    """The node, while there is one, and the timer that wakes it."""

    def __init__(self, loop, output_handlers: Mapping[type[Output], Callable[[Output], None]]):
        """`output_handlers`: what carries out each kind of output."""
        self._loop, self._output_handlers = loop, output_handlers
        self.node: Node | None = None
        self._timer: Task | None = None
        self.longest_step_us = 0

    def start(self, node: Node) -> None:
        """Takes inputs for this node from here on."""
        self.node = node

    def stop(self) -> None:
        """Ignores inputs from here on."""
        self.node = None

    def wake_on(self, timer: Task) -> None:
        """`timer`, which runs `tick`, is woken when the next tick is earlier than it was."""
        self._timer = timer

    def handle(self, input_: Input) -> None:
        """Does what follows from an input; ClaimNameError where a message makes no sense."""
        node = self.node
        if node is None:
            return
        began, was_due = self._loop.now(), node.wake_at()
        for output in node.step(began, input_):
            self._output_handlers[type(output)](output)
        due = node.wake_at()
        if not isinstance(input_, Tick) and due is not None and (was_due is None or due < was_due):
            self._loop.wake(self._timer)
        self.longest_step_us = max(self.longest_step_us, self._loop.now() - began)

    def tick(self) -> Coroutine:
        """A coroutine that gives the node a tick whenever one is due."""
        while True:
            due = self._due()
            yield (-1, 0, None if due is None else max(due, self._loop.now() + MIN_TICK_US))
            due = self._due()
            if due is not None and due <= self._loop.now():
                self.handle(Tick())

    def _due(self) -> int | None:
        return self.node.wake_at() if self.node is not None else None
