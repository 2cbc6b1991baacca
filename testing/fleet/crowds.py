"""Crowds of clients without limits."""
import asyncio
import os

from deployment import request_headers
from memory import read_peak_bytes

# What peers can make a process hold by default, and what it needs itself.
PEAK_MAX_BYTES = (128 + 32) * 1024 * 1024
BLOCK_BYTES = 65536
# The process has read what was sent once its memory no longer grows.
SETTLE_S, SETTLE_CHECKS = 0.5, 3
SEND_MAX_S = 60


def head(path, fields, number=0, method="POST"):
    lines = [f"{method} {path} HTTP/1.1", "Host: h.example"]
    lines += [f"{k}: {v}" for k, v in
              dict(request_headers(number, deadline_ms=3000), **fields).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def in_chunks(size, chunk):
    """A body of `size` bytes in chunks, without the last one."""
    return b"%x\r\n%s\r\n" % (chunk, b"x" * chunk) * (size // chunk)


class Crowd:
    """Clients that send the same bytes and then stay connected."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.ends = []

    async def send(self, count, parts, at_once=50):
        """Each client sends the blocks that parts(number) returns, `at_once`
        of them at a time."""
        room = asyncio.Semaphore(at_once)

        async def run(number):
            async with room:
                try:
                    await asyncio.wait_for(self.send_one(parts(number)),
                                           SEND_MAX_S)
                except (OSError, asyncio.TimeoutError):
                    pass  # refused, or closed
        await asyncio.gather(*[run(i) for i in range(count)])

    async def send_one(self, blocks):
        reader, writer = await asyncio.open_connection(
            self.host, self.port, limit=1024)
        self.ends.append(writer)
        for block in blocks:
            for at in range(0, len(block), BLOCK_BYTES):
                if writer.transport.is_closing() or reader.at_eof():
                    return
                writer.write(block[at:at + BLOCK_BYTES])
                await writer.drain()

    def leave(self):
        for end in self.ends:
            end.transport.abort()


async def settle(process):
    last, same = 0, 0
    while process.process.returncode is None and same < SETTLE_CHECKS:
        await asyncio.sleep(SETTLE_S)
        peak = read_peak_bytes(process)
        same = same + 1 if peak == last else 0
        last = peak


def count_files(process):
    return len(os.listdir(f"/proc/{process.process.pid}/fd"))
