"""The steps that scripts name, but for those of time. A step that is not possible now does nothing."""

from collections.abc import Callable

from mastledge.lab.interleaving import sockets
from mastledge.lab.interleaving.client_peer import ClientPeer
from mastledge.lab.interleaving.program_state import exhaust_descriptors, request_stop
from mastledge.lab.interleaving.worker_peer import (
    CHUNKED_HEAD,
    LAST_CHUNK,
    TURNED_AWAY,
    ConnectionState,
    WorkerConnection,
    state_line,
)
from mastledge.lab.interleaving.world import World

IDLE, ASKED, TAKEN, ENDING = ConnectionState
NEARLY_FINISHED_US = 1_700_000
FINISHING_STEP_US = 20_000

Step = Callable[[World], None]
STEPS: dict[str, Step] = {}


def step(name: str) -> Callable[[Step], Step]:
    """Register a step that is always possible."""

    def register(action: Step) -> Step:
        STEPS[name] = action
        return action

    return register


def request_step(name: str) -> Callable[[Step], Step]:
    """Register a step of a new client, possible while the program accepts."""

    def register(action: Step) -> Step:
        def perform(world: World) -> None:
            if world.program.phase in ("serving", "leaving"):
                action(world)

        STEPS[name] = perform
        return action

    return register


def client_step(name: str) -> Callable[[Callable[[ClientPeer], None]], Callable[[ClientPeer], None]]:
    """Register a step of the newest client, possible while its connection is open both ways."""

    def register(action: Callable[[ClientPeer], None]) -> Callable[[ClientPeer], None]:
        def perform(world: World) -> None:
            client = world.clients[-1] if world.clients else None
            if client is not None and client.open and not client.half_closed:
                action(client)

        STEPS[name] = perform
        return action

    return register


WorkerAction = Callable[[WorkerConnection], None]


def worker_step(
    name: str, *states: ConnectionState, reused: bool = False
) -> Callable[[WorkerAction], WorkerAction]:
    """Register a step of a worker, possible where there is an open connection in one of the states."""

    def register(action: WorkerAction) -> WorkerAction:
        def perform(world: World) -> None:
            connection = world.newest_connection(*states, reused=reused)
            if connection is not None:
                action(connection)

        STEPS[name] = perform
        return action

    return register


@request_step("request")
def send_request(world: World) -> None:
    """Connect a client that sends its whole request."""
    world.connect_client().send()


@request_step("connects")
def connect(world: World) -> None:
    """Connect a client that sends nothing yet."""
    world.connect_client()


@request_step("request-begins")
def begin_request(world: World) -> None:
    """Connect a client that sends all but the last byte of its request."""
    world.connect_client().send(-1)


@client_step("request-ends")
def end_request(client: ClientPeer) -> None:
    """Send the rest of a request."""
    if client.unsent:
        client.send()


@client_step("client-closes")
def close_client(client: ClientPeer) -> None:
    """Close the client's connection."""
    client.leave()


@client_step("client-resets")
def reset_client(client: ClientPeer) -> None:
    """Reset the client's connection."""
    sockets.reset_on_close(client.socket)
    client.leave()


@client_step("client-ends")
def shut_down_client(client: ClientPeer) -> None:
    """End the client's sending."""
    client.shut_down()


@worker_step("worker-takes", ASKED)
def take_launch(connection: WorkerConnection) -> None:
    """Say that the launch has started."""
    connection.send(connection.take())


@worker_step("worker-done", ASKED, TAKEN)
def finish_launch(connection: WorkerConnection) -> None:
    """Answer with a result."""
    connection.finish(connection.take() + state_line("done", connection.job, result="r") + LAST_CHUNK)


@worker_step("worker-last-line", ASKED, TAKEN)
def send_last_line(connection: WorkerConnection) -> None:
    """Answer with a result, but for the last chunk."""
    connection.finish(connection.take() + state_line("done", connection.job, result="r"), ENDING)


@worker_step("worker-last-chunk", ENDING)
def send_last_chunk(connection: WorkerConnection) -> None:
    """Send the last chunk of an answer."""
    connection.finish(LAST_CHUNK)


@worker_step("worker-turns-away", ASKED)
def turn_launch_away(connection: WorkerConnection) -> None:
    """Refuse by the head of the answer."""
    connection.deny_launch(TURNED_AWAY)


@worker_step("worker-returns", ASKED)
def return_launch(connection: WorkerConnection) -> None:
    """Refuse by a line of the answer."""
    connection.deny_launch(CHUNKED_HEAD + state_line("returned", connection.job) + LAST_CHUNK)


@worker_step("worker-fails", ASKED, TAKEN)
def fail_launch(connection: WorkerConnection) -> None:
    """Answer that the launch has failed."""
    connection.finish(connection.take() + state_line("failed", connection.job) + LAST_CHUNK)


@worker_step("second-answer", IDLE, ASKED, reused=True)
def send_second_answer(connection: WorkerConnection) -> None:
    """Send an answer behind one that was whole."""
    connection.send(TURNED_AWAY)


@worker_step("worker-closes", IDLE, ASKED, TAKEN, ENDING)
def close_worker(connection: WorkerConnection) -> None:
    """Close the worker's connection."""
    connection.close()


@worker_step("worker-resets", IDLE, ASKED, TAKEN, ENDING)
def reset_worker(connection: WorkerConnection) -> None:
    """Reset the worker's connection."""
    sockets.reset_on_close(connection.socket)
    connection.close()


@step("connects-held")
def hold_connects(world: World) -> None:
    """Let connects to workers stay open-ended."""
    world.readiness.held = True


@step("connects-up")
def release_connects(world: World) -> None:
    """Let connects to workers come up."""
    world.readiness.held = False


@step("drains")
def drain(world: World) -> None:
    """Drain the first worker."""
    world.discovery.change("s-1", "draining")


@step("gone")
def remove_worker(world: World) -> None:
    """Take the first worker off the list."""
    world.discovery.change("s-1", "gone")


@step("restarts")
def restart_worker(world: World) -> None:
    """Start the first worker anew, at its address."""
    for connection in world.connections:
        if connection.worker == "s-1":
            connection.close()
    world.discovery.change("s-1", "ready", world.unix_ms())


@step("moves")
def move_worker(world: World) -> None:
    """Start the first worker anew, at another address; its connections stay."""
    world.move_worker("s-1")
    world.discovery.change("s-1", "ready", world.unix_ms())


@step("joins")
def join(world: World) -> None:
    """Add a worker in the same zone."""
    world.discovery.change("s-2", "ready")


@step("joins-elsewhere")
def join_elsewhere(world: World) -> None:
    """Add a worker in another zone."""
    world.discovery.change("s-3", "ready")


@step("watch-silent")
def silence_discovery(world: World) -> None:
    """Let discovery say nothing."""
    world.discovery.silent = True


@step("watch-back")
def resume_discovery(world: World) -> None:
    """Let discovery answer again."""
    world.discovery.silent = False


@step("watch-resets")
def reset_watches(world: World) -> None:
    """Reset the program's watches."""
    world.discovery.reset_watches()


@step("older")
def send_older_change(world: World) -> None:
    """Tell a change of a generation that is behind."""
    world.discovery.send_older_change()


@step("term")
def terminate(world: World) -> None:
    """Stop the program as SIGTERM does."""
    request_stop(world.program)


@step("hup")
def reload(world: World) -> None:
    """Reload the configuration, with the other agent as discovery."""
    world.configure(1)
    world.program.reload_configuration()


@step("full")
def fill_descriptors(world: World) -> None:
    """Leave no descriptor for one more connection of any kind."""
    exhaust_descriptors(world.program)


@step("nearly-finishes")
def nearly_finish(world: World) -> None:
    """Let most of the time of serving on after SIGTERM pass."""
    world.pass_time(NEARLY_FINISHED_US)


@step("finishes")
def finish(world: World) -> None:
    """Let time pass after SIGTERM until the program takes nothing new and closes idle connections."""
    while world.program.phase == "leaving":
        world.pass_time(FINISHING_STEP_US)
