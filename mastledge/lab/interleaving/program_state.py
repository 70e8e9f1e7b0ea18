"""What the program under test holds: all that reaches into its parts stands here."""

from collections.abc import Iterator

from mastledge.program.dispatcher import Dispatcher

TASKS_AND_TIMERS_AT_REST = 6  # of the program itself


def has_jobs(program: Dispatcher) -> bool:
    """Whether the router has a job in hand."""
    return bool(program.router.jobs)


def exhaust_descriptors(program: Dispatcher) -> None:
    """Leave no descriptor for one more connection of any kind."""
    for kind in ("clients", "workers"):
        program.budget.limits[kind] = program.budget.used[kind]


def request_stop(program: Dispatcher) -> None:
    """Do what SIGTERM does."""
    program.stop_requested = True
    program.loop.wake(program.lifecycle_task)


def leftovers(program: Dispatcher) -> Iterator[str]:
    """Give what a program at rest must not hold any more, one text each."""
    loop = program.loop
    if program.router.jobs:
        yield f"{len(program.router.jobs)} jobs"
    if program.router.scheduler.jobs:
        yield f"{len(program.router.scheduler.jobs)} jobs of the decisions"
    if program.budget.used["clients"]:
        yield f"{program.budget.used['clients']} clients' descriptors"
    idle = sum(len(peer.idle) for peer in program.router.endpoints.values())
    timers = sum(wait_number == task.wait_number for _, _, task, wait_number in loop.timers)
    if timers > idle + TASKS_AND_TIMERS_AT_REST:
        yield f"{timers - idle} timers"
    if len(loop.waiters) > idle + TASKS_AND_TIMERS_AT_REST:
        yield f"{len(loop.waiters) - idle} tasks"
    if program.budget.used["workers"] > idle:
        yield f"{program.budget.used['workers'] - idle} workers' descriptors"
    if program.budget.request_bytes or program.listener.jobs.open_jobs:
        yield "room for bodies, or jobs in hand"


def shut_down(program: Dispatcher) -> None:
    """Cancel the program's tasks and close its sockets."""
    for task in (
        program.lifecycle_task,
        program.inbox.reader,
        program.discovery.task,
        program.accept_task,
    ):
        if task is not None:
            program.loop.cancel(task)
    for connection in list(program.listener.clients):
        program.loop.cancel(connection.owner)
    for peer in program.router.endpoints.values():
        program.workers.close_idle(peer)
    program.listening_socket.close()
    program.loop.epoll.close()
