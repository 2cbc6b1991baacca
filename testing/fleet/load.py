"""Callers that send requests at a constant rate."""
import asyncio
import time

from deployment import call, request_headers

ADAPTERS = [f"a{i}" for i in range(5)]


class Load:
    """Requests of callers at a constant rate, under way until stop().

    Those of kind "resumed" are for the adapters in turn.
    """

    def __init__(self, client, kind, per_s, pick_gateway, adapters=ADAPTERS,
                 fields=None):
        self.client, self.kind, self.per_s = client, kind, per_s
        self.pick_gateway = pick_gateway
        self.adapters = adapters
        self.fields = fields or {}  # further header fields
        self.answers = []  # (time of sending, status, duration, headers)
        self.gateway_of = {}  # id to gateway
        self.sent_at = {}     # id to the time of sending
        self.task = asyncio.ensure_future(self.run())

    async def send(self, number):
        gateway = self.pick_gateway(number)
        adapter = (self.adapters[number % len(self.adapters)]
                   if self.kind == "resumed" else None)
        request = self.client.next_id()
        self.gateway_of[f"{request:016x}"] = gateway
        sent_at = time.monotonic()
        self.sent_at[f"{request:016x}"] = sent_at
        try:
            status, headers, _, complete = await call(
                f"127.0.3.{gateway + 1}", self.client.deployment.port, "POST",
                f"/{self.kind}/1", dict(request_headers(
                    request, adapter, events=5, deadline_ms=1500),
                    **self.fields), b"x")
        except OSError:
            status, headers, complete = 0, {}, False
        self.answers.append((sent_at, status if complete else 0,
                             time.monotonic() - sent_at, headers))

    async def run(self):
        jobs, number, start = [], 0, time.monotonic()
        try:
            while True:
                jobs.append(asyncio.ensure_future(self.send(number)))
                number += 1
                await asyncio.sleep(max(
                    0, start + number / self.per_s - time.monotonic()))
        except asyncio.CancelledError:
            await asyncio.gather(*jobs)

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def share_served(self, since):
        late = [a for a in self.answers if a[0] >= since]
        return sum(a[1] == 200 for a in late) / max(len(late), 1)
