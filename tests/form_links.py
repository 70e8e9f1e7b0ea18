"""Both ends of a real link between dispatchers, over loopback."""

import contextlib
import socket

import form_names as program


class LinkEnds:
    """Real links over loopback: what they put on the wire, and what they take from it."""

    def __init__(self, fleet, name, life):
        self.rig, self.heard, self.sock = program.Rig(), [], socket.create_server((program.HERE, 0))
        self.links = program.links_of(
            self.rig, (fleet, name, life), self.sock.getsockname, lambda *told: self.heard.append(told)
        )

    def close(self):
        program.close_links(self.links)
        self.sock.close()

    def sends(self, contents, count):
        """The first `count` bytes on the wire to another dispatcher that is sent these."""
        for content in contents:
            program.send_on_link(self.links, content)
        got, conn = bytearray(), []
        self.sock.setblocking(False)

        def whole():
            try:
                if not conn:
                    conn.append(self.sock.accept()[0])
                    conn[0].setblocking(False)
                got.extend(conn[0].recv(65536))
            except BlockingIOError:
                pass
            return len(got) >= count

        self.rig.turn(whole)
        for one in conn:
            one.close()
        return bytes(got)

    def receives(self, raw, frames):
        """[(name, life, content)] of what comes as these bytes, and what is sent back for it."""
        self.sock.close()
        theirs = socket.create_connection(program.listen_on_links(self.links))
        theirs.sendall(raw)
        theirs.setblocking(False)
        back = bytearray()

        def answered():
            with contextlib.suppress(BlockingIOError):
                back.extend(theirs.recv(4096))
            return len(back) >= frames

        self.rig.turn(answered)
        theirs.close()
        return self.heard, bytes(back)
