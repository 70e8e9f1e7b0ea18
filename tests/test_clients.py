"""The door: what clients send, and what becomes of it."""

import socket

import pytest
from helpers import HERE, Rig, client, door, job, queue_type

from mastledge.transport.connection import listen

BIG = b"y" * 70_000


@pytest.mark.parametrize(("raw", "status", "left_open"), [
    (b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n", 200, True),
    (b"GET /health/live HTTP/1.1\r\nHost: h\r\n\r\n", 200, True),
    (b"GET /nothing HTTP/1.1\r\nHost: h\r\n\r\n", 404, True),
    (b"GET /render HTTP/1.1\r\nHost: h\r\n\r\n", 405, True),
    (b"HEAD /health/live HTTP/1.1\r\nHost: h\r\n\r\n", 405, True),
    (b"no HTTP at all\r\n\r\n", 400, False),
    (b"GET / HTTP/1.1\r\nHost: h\r\nA: " + BIG, 413, False),
    (job(body=BIG), 413, False),
    (job(body=b"4\r\nabcd\r\nzz\r\n", Content_Length=None, Transfer_Encoding="chunked"), 400, False),
    (job(X_Txn=None), 400, False),
    (job(X_Lane="other"), 400, False),
    (job(X_Remaining_Ms="soon"), 400, False),
    (job(X_Remaining_Ms="-1"), 400, False),
    (job(X_Estimate="nan"), 400, False),
    (job("/store"), 400, False),
], ids=range(15))
def test_what_cannot_be_taken_is_answered_at_once(raw, status, left_open):
    rig = Rig()
    made = door(rig, [queue_type(name="render"), queue_type("deduplicated", name="store"),
                      queue_type(name="other")])
    theirs = client(rig, made)
    theirs.sendall(raw)
    reply = rig.reply(theirs)
    assert reply.startswith(b"HTTP/1.1 %d " % status) and not rig.inbox.items and not rig.errors
    assert (b"connection: close" not in reply.lower()) == left_open


@pytest.mark.parametrize(("headers", "says"), [
    ({}, (0, 0, 0, 1.0, 0.0, 0, 480_000)),
    ({"X_Estimate": 2500, "Cookie": "a=b; user=k1", "X_Org": "b"}, (0, 2500, b"k1", 1.0, 0.0, 1, 480_000)),
    ({"X_Labels": "width=2, ramUnits=1.5"}, (0, 0, 0, 2.0, 1.5, 0, 480_000)),
    ({"X_Labels": "slots=4,memory=0.25,other=x"}, (0, 0, 0, 4.0, 0.25, 0, 480_000)),
    ({"X_Remaining_Ms": None}, (0, 0, 0, 1.0, 0.0, 0, 5_000_000)),
    ({"Expect": "100-continue"}, (0, 0, 0, 1.0, 0.0, 0, 480_000)),
    ({"Content_Length": None, "Transfer_Encoding": "chunked", "body": b"1\r\nx\r\n0\r\n\r\n"},
     (0, 0, 0, 1.0, 0.0, 0, 480_000)),
])
def test_a_job_goes_to_the_queue_as_one_call(headers, says):
    rig = Rig()
    client(rig, door(rig)).sendall(job(**headers))
    assert rig.turn(lambda: rig.inbox.items)
    what, exchange, *fields = rig.inbox.items[0]
    assert what == "arrived" and tuple(fields) == says and exchange.body == b"x"
    assert all(name != b"x-remaining-ms" for name, _ in exchange.headers)


@pytest.mark.parametrize(("answer", "says"), [
    (lambda ex: ex.completed(b"result"), b"HTTP/1.1 200 "), (lambda ex: ex.killed(), b"HTTP/1.1 500 "),
    (lambda ex: ex.rejected(250_000), b"retry-after: 0.250")])
def test_a_job_gets_one_answer(answer, says):
    rig = Rig()
    theirs = client(rig, door(rig))
    theirs.sendall(job())
    rig.turn(lambda: rig.inbox.items)
    exchange = rig.inbox.items.popleft()[1]
    answer(exchange)
    exchange.killed()
    reply = rig.reply(theirs)
    assert says in reply and reply.count(b"HTTP/1.1") == 1 and not rig.inbox.items


def test_a_client_that_closes_has_abandoned_its_job():
    rig = Rig()
    made = door(rig)
    theirs = client(rig, made)
    theirs.sendall(job())
    rig.turn(lambda: rig.inbox.items)
    theirs.close()
    assert rig.turn(lambda: not made.clients)
    assert [item[0] for item in rig.inbox.items] == ["arrived", "abandoned"]
    assert rig.budget.used["clients"] == 0


def test_a_job_that_the_decisions_forgot_is_killed_when_its_time_is_over():
    rig = Rig()
    theirs = client(rig, door(rig))
    theirs.sendall(job(X_Remaining_Ms=20))
    assert rig.turn(lambda: len(rig.inbox.items) == 2) and rig.inbox.items[1][0] == "abandoned"
    assert rig.reply(theirs).startswith(b"HTTP/1.1 500 ")


@pytest.mark.parametrize(("beyond", "most_held"), [(True, 100), (False, 0)])
def test_what_is_beyond_the_limits_is_rejected_untouched(beyond, most_held):
    rig = Rig()
    theirs = client(rig, door(rig, most_held=most_held), beyond)
    theirs.sendall(job())
    assert rig.reply(theirs).startswith(b"HTTP/1.1 503 ") and not rig.inbox.items


def test_answers_of_a_leaving_dispatcher_end_their_connections():
    rig = Rig()
    made = door(rig)
    made.leaving = True
    theirs = client(rig, made)
    theirs.sendall(b"GET /health/ready HTTP/1.1\r\nHost: h\r\n\r\n")
    reply = rig.reply(theirs)
    assert reply.startswith(b"HTTP/1.1 503 ") and b"connection: close" in reply.lower()


@pytest.mark.parametrize("unread", [b"", job()])
def test_an_idle_client_is_closed_only_when_nothing_is_under_way(unread):
    rig = Rig()
    made = door(rig)
    theirs = client(rig, made)
    rig.loop.once(0)
    theirs.sendall(unread)
    (conn,) = made.clients
    assert made.close_idle(conn) == (not unread)


@pytest.mark.parametrize(("raw", "goes"), [(b"", True), (job()[:-1], True), (job(), False)],
                         ids=["idle", "unfinished", "taken"])
def test_a_client_gives_way_until_its_job_is_taken(raw, goes):
    # Requests that never become whole could hold all descriptors otherwise.
    rig = Rig(sockets=0)
    made = door(rig)
    theirs = client(rig, made)
    theirs.sendall(raw)
    place = {job(): None, b"": "clients"}.get(raw, "unfinished")
    assert rig.turn(lambda: rig.inbox.items if place is None else rig.budget.idle[place])
    if place == "unfinished":
        # Bytes that wait to be read keep it for a moment longer.
        rig.turn(lambda: rig.loop.waiters and all(conn.quiet() for conn in made.clients))
    while rig.budget.used["clients"] < rig.budget.most["clients"]:
        rig.budget.used["clients"] += 1
    assert rig.budget.take("clients") == goes and not rig.errors


def test_requests_sent_one_behind_the_other_are_answered_in_order():
    rig = Rig()
    theirs = client(rig, door(rig))
    theirs.sendall(b"GET /nothing HTTP/1.1\r\nHost: h\r\n\r\nGET /health/live HTTP/1.1\r\nHost: h\r\n\r\n")
    reply = rig.reply(theirs)
    assert 0 < reply.index(b" 404 ") < reply.index(b" 200 ")


@pytest.mark.parametrize("waiting", [0, 3])
def test_what_the_machine_accepted_is_taken_in_before_the_door_closes(waiting):
    rig = Rig()
    made, sock = door(rig), listen((HERE, 0))
    theirs = [socket.create_connection(sock.getsockname(), 2) for _ in range(waiting)]
    assert not made.last_call(sock) and len(made.clients) == len(theirs) == rig.budget.used["clients"]
