"""A TCP proxy on loopback whose connections can be made to misbehave."""
import asyncio

BLOCK = 65536


class Proxy:
    """Forwards `host:port` to `target`; faults hold for all connections."""

    def __init__(self, host, port, target_host, target_port):
        self.address = (host, port)
        self.target = (target_host, target_port)
        self.delay_s = 0.0
        self.cut = set()  # directions that carry nothing: "in", "out"
        self.refusing = False
        self.writers = set()
        self.server = None

    async def open(self):
        self.server = await asyncio.start_server(self.serve, *self.address,
                                                 reuse_address=True)

    async def close(self):
        self.server.close()
        self.reset()

    def heal(self):
        self.delay_s, self.refusing = 0.0, False
        self.cut.clear()

    def reset(self):
        """Resets all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        if self.refusing:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        await asyncio.gather(self.pump(reader, far_writer, "in"),
                             self.pump(far_reader, writer, "out"))
        self.writers -= {writer, far_writer}

    async def pump(self, reader, writer, direction):
        try:
            while True:
                data = await reader.read(BLOCK)
                while direction in self.cut:
                    await asyncio.sleep(0.05)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            writer.close()
        except (ConnectionError, RuntimeError):
            writer.transport.abort()
