"""Run either end of a real link between dispatchers over loopback."""

import contextlib
import socket

import form_names as program


class LinkEnds:
    """Links over loopback, with the bytes that they send and the frames that they receive."""

    def __init__(self, fleet, name, life):
        self.rig, self.heard, self.sock = program.Rig(), [], socket.create_server((program.HERE, 0))
        self.links = program.links_of(
            self.rig,
            (fleet, name, life),
            self.sock.getsockname,
            lambda *arguments: self.heard.append(arguments),
        )

    def close(self):
        program.close_links(self.links)
        self.sock.close()

    def sends(self, contents, count):
        """Send these contents to another dispatcher and return the first `count` bytes on the wire."""
        for content in contents:
            program.send_on_link(self.links, content)
        received, connections = bytearray(), []
        self.sock.setblocking(False)

        def receive_all():
            try:
                if not connections:
                    connections.append(self.sock.accept()[0])
                    connections[0].setblocking(False)
                received.extend(connections[0].recv(65536))
            except BlockingIOError:
                pass
            return len(received) >= count

        self.rig.turn(receive_all)
        for connection in connections:
            connection.close()
        return bytes(received)

    def receives(self, raw, frames):
        """Receive these bytes; return [(name, incarnation, content)] and the bytes sent back."""
        self.sock.close()
        remote = socket.create_connection(program.listen_on_links(self.links))
        remote.sendall(raw)
        remote.setblocking(False)
        back = bytearray()

        def receive_reply():
            with contextlib.suppress(BlockingIOError):
                back.extend(remote.recv(4096))
            return len(back) >= frames

        self.rig.turn(receive_reply)
        remote.close()
        return self.heard, bytes(back)
