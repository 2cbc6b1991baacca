"""A TCP proxy on loopback that injects connection faults."""
import asyncio

BLOCK = 65536


class Proxy:
    """Forwards connections to `host:port` to the target.

    Faults apply to all connections.
    """

    def __init__(self, host, port, target_host, target_port):
        self.address = (host, port)
        self.target = (target_host, target_port)
        self.delay_s = 0.0
        self.blocked_directions = set()  # "in", "out": no data is forwarded
        self.refusing_connections = False
        self.writers = set()
        self.server = None

    async def open(self):
        self.server = await asyncio.start_server(
            self.serve_connection, *self.address, reuse_address=True)

    async def close(self):
        self.server.close()
        self.reset_connections()

    def clear_faults(self):
        self.delay_s, self.refusing_connections = 0.0, False
        self.blocked_directions.clear()

    def reset_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve_connection(self, reader, writer):
        if self.refusing_connections:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        await asyncio.gather(self.forward(reader, far_writer, "in"),
                             self.forward(far_reader, writer, "out"))
        self.writers -= {writer, far_writer}

    async def forward(self, reader, writer, direction):
        try:
            while True:
                data = await reader.read(BLOCK)
                while direction in self.blocked_directions:
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
