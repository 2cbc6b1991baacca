"""Callers that keep their connections open."""
import asyncio
import socket

from deployment import request_headers


class KeptConnection:
    """A connection that sends one request after the other, in parts if need
    be. Responses are read up to their end, so that the connection stays."""

    def __init__(self, client, gateway_host):
        self.client = client
        self.host = gateway_host
        self.reader = self.writer = None

    async def open(self, buffer_bytes=0):
        """Connects, with small buffers for input if `buffer_bytes` is set."""
        end = socket.socket()
        end.setblocking(False)
        options = {}
        if buffer_bytes:
            end.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
            options["limit"] = buffer_bytes
        await asyncio.get_running_loop().sock_connect(
            end, (self.host, self.client.deployment.port))
        self.reader, self.writer = await asyncio.open_connection(
            sock=end, **options)
        return self

    def compose(self, route, adapter=None, events=0, body=b"x",
                deadline_ms=3900, fields=None):
        """Returns the id, the head and the body of a new request."""
        number = self.client.next_id()
        headers = request_headers(number, adapter, events=events,
                                  deadline_ms=deadline_ms)
        headers.update(fields or {})
        lines = [f"POST /{route}/1 HTTP/1.1", "Host: h.example"]
        lines += [f"{k}: {v}" for k, v in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        return (f"{number:016x}", ("\r\n".join(lines) + "\r\n\r\n").encode(),
                body)

    def write(self, data):
        self.writer.write(data)

    async def read_response(self, timeout_s=10):
        """Returns the status and the body of the next response, or None if the
        connection ends before it is complete."""
        try:
            return await asyncio.wait_for(self.read_whole_response(),
                                          timeout_s)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return None

    async def read_whole_response(self):
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.lower().split("\r\n")
        status = int(lines[0].split(" ")[1])
        headers = dict(line.split(": ", 1) for line in lines[1:] if line)
        if headers.get("transfer-encoding") != "chunked":
            return status, await self.reader.readexactly(
                int(headers.get("content-length", 0)))
        body = b""
        while size := int(await self.reader.readuntil(b"\r\n"), 16):
            body += await self.reader.readexactly(size)
            await self.reader.readexactly(2)
        await self.reader.readexactly(2)
        return status, body

    async def send(self, route, **options):
        """Sends a whole request and returns its response."""
        _, head, body = self.compose(route, **options)
        self.write(head + body)
        return await self.read_response()

    def close(self):
        self.writer.transport.abort()
