"""Callers that resume broken streams, at any gateway, and record the software
versions of the engines whose events they got.
"""
import asyncio
import time

from deployment import parse_response, request_headers

# Least time between the end of an attempt and the next one.
RESUME_PAUSE_S = 0.05
# Refusals in a row after which a caller gives up.
REFUSALS_MAX = 3


class Stream:
    """One stream over all attempts of its caller."""

    def __init__(self, client, gateways, adapter="a1", events=20,
                 route="slow", deadline_s=10):
        self.client, self.gateways = client, list(gateways)
        self.adapter, self.events, self.route = adapter, events, route
        self.end_at = time.monotonic() + deadline_s
        self.resumes = None      # id of the attempt with the first event
        self.last_event = 0
        self.software = []       # versions in the order of their events
        self.out_of_order = False
        # (gateway, last event before, status, went on, s, has Retry-After)
        self.attempts = []
        self.begun = asyncio.Event()
        self.job = None

    def start(self):
        self.job = asyncio.ensure_future(self.run())
        return self

    def mixed(self):
        return len(set(self.software)) > 1

    def complete(self):
        return self.last_event == self.events

    async def run(self):
        number = refusals = 0
        while time.monotonic() < self.end_at and refusals <= REFUSALS_MAX:
            gateway = self.gateways[number % len(self.gateways)]
            number += 1
            before, began_at = self.last_event, time.monotonic()
            try:
                status, headers = await asyncio.wait_for(
                    self.attempt(gateway), self.end_at - began_at)
            except (OSError, asyncio.TimeoutError):
                status, headers = 0, {}
            went_on = self.last_event > before
            self.attempts.append((gateway, before, status, went_on,
                                  time.monotonic() - began_at,
                                  "retry-after" in headers))
            if self.complete():
                return self
            if status == 503 and not went_on:
                refusals += 1
                if "retry-after" not in headers:
                    return self
                await asyncio.sleep(float(headers["retry-after"]))
            else:
                await asyncio.sleep(RESUME_PAUSE_S)
        return self

    async def attempt(self, gateway):
        number = self.client.next_id()
        self.client.record_sent(number, self.route, self.adapter, gateway)
        left_ms = int((self.end_at - time.monotonic()) * 1000)
        headers = request_headers(number, self.adapter, events=self.events,
                                  deadline_ms=left_ms)
        headers.update(self.client.key_fields(headers["X-Request-Id"]))
        if self.resumes is not None:
            headers["Resumes"] = self.resumes
            headers["Last-Event-Id"] = str(self.last_event)
        reader, writer = await asyncio.open_connection(
            gateway, self.client.deployment.port)
        try:
            lines = [f"POST /{self.route}/1 HTTP/1.1", "Host: h.example",
                     "Connection: close", "Content-Length: 1"]
            lines += [f"{k}: {v}" for k, v in headers.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\nx").encode())
            data, status, answer = b"", 0, {}
            while block := await reader.read(65536):
                data += block
                status, answer, body, _ = parse_response(data)
                if status == 200:
                    self.take_events(body, headers["X-Request-Id"])
            return status, answer
        except ConnectionError:
            return status, answer
        finally:
            writer.transport.abort()

    def take_events(self, body, request):
        for event in body.decode().split("\n\n")[:-1]:
            identity, data = event.split("\n")
            number = int(identity[4:])
            if number <= self.last_event:
                continue
            self.out_of_order |= number != self.last_event + 1
            self.last_event = number
            self.software.append(data.split(" ")[-1])
            if self.resumes is None:
                self.resumes = request
            self.begun.set()


def share_going_on(streams):
    """Share of attempts that went on, of those that resumed a stream, and of
    those that were to begin one, with the number of the first."""
    attempts = [a for s in streams for a in s.attempts]
    resumed = [a[3] for a in attempts if a[1] > 0]
    new = [a[3] for a in attempts if a[1] == 0]
    return (sum(resumed) / max(len(resumed), 1),
            sum(new) / max(len(new), 1), len(resumed))
