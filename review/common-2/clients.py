"""Callers of the cases: streams that are taken up again, and plain requests.
"""
import asyncio
import time

import fleet  # noqa: F401  (sets the module path)
from deployment import parse_response
from standin import Engine

RESUME_PAUSE_S = 0.1


def stream_headers(request, adapter, events, deadline_ms):
    model = Engine.MODEL + (f"/{adapter}" if adapter else "")
    return {"X-Request-Id": request, "X-Deadline-Ms": str(deadline_ms),
            "X-Model": model, "X-Token-Usage": f"400,{events}",
            "X-Prompt-Prefix": f"ab12:300,{request}:100"}


class Stream:
    """One stream over all attempts of its caller, which follows the page
    PROTOCOL: it takes a broken stream up with Last-Event-Id and Resumes, each
    time on a new connection, and honours Retry-After."""

    def __init__(self, fleet, record, route, number, adapter=None, events=20,
                 deadline_s=15.0, tries=3):
        self.fleet, self.record, self.route = fleet, record, route
        self.number, self.adapter, self.events = number, adapter, events
        self.end_at = time.monotonic() + deadline_s
        self.tries = tries
        self.first_id = None   # attempt that brought the first event
        self.last_event = 0
        self.software = []     # versions in the order of their events
        self.out_of_order = False
        # (gateway, last event before, status, went on, start, end)
        self.attempts = []
        self.pause_s = None    # pause before the stream is taken up again
        self.job = None

    def start(self):
        self.job = asyncio.ensure_future(self.run())
        return self

    def mixed(self):
        return len(set(self.software)) > 1

    def complete(self):
        return self.last_event == self.events

    def describe(self):
        runs = []
        for version in self.software:
            if not runs or runs[-1][0] != version:
                runs.append([version, 0])
            runs[-1][1] += 1
        return (", then ".join(f"{n} events of {v}" for v, n in runs)
                + f" in {len(self.attempts)} attempts: {self.attempts}")

    async def run(self):
        for attempt in range(self.tries):
            if time.monotonic() >= self.end_at or self.complete():
                break
            gateways = self.fleet.gateways
            gateway = gateways[(self.number + attempt) % len(gateways)]
            before, began = self.last_event, time.monotonic()
            try:
                status, headers = await asyncio.wait_for(
                    self.attempt(gateway, attempt), self.end_at - began)
            except (OSError, asyncio.TimeoutError):
                status, headers = 0, {}
            self.attempts.append((gateway.name, before, status,
                                  self.last_event > before,
                                  round(began - self.record.began, 3),
                                  round(time.monotonic() -
                                        self.record.began, 3)))
            if self.complete():
                break
            pause_s = float(headers.get("retry-after", RESUME_PAUSE_S))
            await asyncio.sleep(self.pause_s if self.pause_s is not None
                                else pause_s)
        return self

    async def attempt(self, gateway, attempt):
        request = f"{self.number:08x}{attempt:04x}"
        left_ms = int((self.end_at - time.monotonic()) * 1000)
        headers = stream_headers(request, self.adapter, self.events, left_ms)
        if self.first_id is not None:
            headers["Resumes"] = self.first_id
            headers["Last-Event-Id"] = str(self.last_event)
        self.record.write(f"{request} sent to {gateway.name}, {self.route}, "
                          f"{headers['X-Model']}, after event "
                          f"{self.last_event}")
        reader, writer = await asyncio.open_connection(
            gateway.host, self.fleet.port)
        status, answer = 0, {}
        try:
            lines = [f"POST /{self.route}/1 HTTP/1.1", "Host: h.example",
                     "Connection: close", "Content-Length: 1"]
            lines += [f"{k}: {v}" for k, v in headers.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\nx").encode())
            data = b""
            while block := await reader.read(65536):
                data += block
                status, answer, body, _ = parse_response(data)
                if status == 200:
                    self.take_events(body, request)
        except ConnectionError:
            pass
        finally:
            writer.transport.abort()
            self.record.write(f"{request} answered {status}, event "
                              f"{self.last_event} of {self.events}")
        return status, answer

    def take_events(self, body, request):
        for event in body.decode().split("\n\n")[:-1]:
            identity, data = event.split("\n")
            number = int(identity[4:])
            if number <= self.last_event:
                continue
            self.out_of_order |= number != self.last_event + 1
            self.last_event = number
            self.software.append(data.split(" ")[-1])
            if self.first_id is None:
                self.first_id = request
