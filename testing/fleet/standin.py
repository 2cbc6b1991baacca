"""Stand-ins for the users' platform on loopback, with its HTTP interfaces.

One asyncio loop runs the platform's store, model engines and plain targets.
Tests set attributes to inject faults, and read the recorded requests and
orders to check guarantees independently of the programs under test.
"""
import asyncio
import copy
import json
import random
import re
import time

BLOCK = 65536
# Text in an object of the store that is sent as it is: JSON that json.dumps()
# does not write, such as numbers out of range. It has ' for ".
RAW_VALUE = re.compile(r'"raw\(([^"]*)\)"')
# Text that is sent as bytes that are not UTF-8.
NOT_UTF8 = "bytes that are not UTF-8"


class Response:
    """One HTTP response: a fixed body, or `chunks` (an async generator).

    With ends_by_close the body has no length and ends with the connection.
    With `raw` (an async generator) just its bytes are sent, no head.
    """

    def __init__(self, status=200, headers=None, body=b"", chunks=None,
                 ends_by_close=False, raw=None):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.chunks = chunks
        self.ends_by_close = ends_by_close
        self.raw = raw


class Server:
    """A small HTTP/1.1 server; subclasses implement handle().

    handle() returns a Response, or None to close the connection without one.
    While `unresponsive` is set, requests are read but not answered. While
    `silent` is set, requests begin and go on, but nothing is sent.
    """

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.unresponsive = False
        self.silent = False
        self.heads = None  # a list to record the heads of all requests
        self.ended = {}  # time by run, whether sent or broken off
        self.connections = set()
        self.server = None

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def open(self):
        self.server = await asyncio.start_server(
            self.serve_connection, self.host, self.port, reuse_address=True)

    async def close(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        self.drop_connections()

    def drop_connections(self):
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve_connection(self, reader, writer):
        self.connections.add(writer)
        try:
            while await self.serve_request(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()

    async def serve_request(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        if self.heads is not None:
            self.heads.append(head)
        lines = head.split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            if line:
                name, value = line.split(":", 1)
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        while self.unresponsive:
            await asyncio.sleep(0.02)
        try:
            response = await self.handle(method, target, headers, body, writer)
            if response is None:
                return False
            await self.send_response(reader, writer, response)
        finally:
            if "run" in headers:
                self.ended[headers["run"]] = time.monotonic()
        return not response.ends_by_close

    async def wait_while_silent(self, reader, writer):
        while self.silent:
            if reader.at_eof() or writer.transport.is_closing():
                raise ConnectionError
            await asyncio.sleep(0.02)

    async def send_response(self, reader, writer, response):
        await self.wait_while_silent(reader, writer)
        if response.raw is not None:
            await self.send_raw(writer, response.raw)
            return
        head = [f"HTTP/1.1 {response.status} X"]
        head += [f"{k}: {v}" for k, v in response.headers.items()]
        if response.chunks is None:
            if not response.ends_by_close:
                head.append(f"Content-Length: {len(response.body)}")
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode()
                         + response.body)
            await writer.drain()
            return
        head.append("Transfer-Encoding: chunked")
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        try:
            async for chunk in response.chunks:
                await self.wait_while_silent(reader, writer)
                if writer.transport.is_closing():
                    raise ConnectionError
                writer.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
                await writer.drain()
        finally:
            await response.chunks.aclose()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    @staticmethod
    async def send_raw(writer, blocks):
        try:
            async for block in blocks:
                if writer.transport.is_closing():
                    raise ConnectionError
                writer.write(block)
                await writer.drain()
        finally:
            await blocks.aclose()

    async def handle(self, method, target, headers, body, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's store: versioned objects, lists, long-poll watches."""

    def __init__(self, host, port):
        super().__init__(host, port)
        self.objects_by_kind = {}
        self.revision = 1
        self.history = []  # (revision, kind, name, object, deleted)
        self.compacted_revision = 0  # watches from before get status 410
        self.era = 1  # counts the returns from an older copy; in all answers
        self.error_status = 0  # if not 0, the status of every response
        self.changed = asyncio.Event()
        self.request_count = 0

    def put(self, kind, name, spec):
        objects = self.objects_by_kind.setdefault(kind, {})
        if name in objects and objects[name]["spec"] == spec:
            return
        self.revision += 1
        objects[name] = {"metadata": {"name": name, "rev": self.revision},
                         "spec": spec, "status": None}
        self.append_history(kind, name, objects[name], False)

    def delete(self, kind, name):
        removed = self.objects_by_kind.get(kind, {}).pop(name, None)
        if removed is not None:
            self.revision += 1
            self.append_history(kind, name, removed, True)

    def append_history(self, kind, name, record, deleted):
        self.history.append((self.revision, kind, name, record, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def compact_history(self):
        self.history.clear()
        self.compacted_revision = self.revision

    def copy(self):
        """Returns a copy of the content, to be passed to restore()."""
        return copy.deepcopy((self.objects_by_kind, self.revision,
                              self.history))

    def restore(self, saved, cut_watches):
        """Comes back from a copy: later writes are gone, and revisions after
        it are given out again."""
        self.objects_by_kind, self.revision, self.history = copy.deepcopy(
            saved)
        self.compacted_revision = min(self.compacted_revision, self.revision)
        self.era += 1
        if cut_watches:
            self.drop_connections()

    async def handle(self, method, target, headers, body, writer):
        response = (await self.answer(target) if method == "GET" else
                    self.change(method, target, body))
        response.headers["Store-Era"] = str(self.era)
        return response

    def change(self, method, target, body):
        """Creates, replaces or removes an object."""
        self.request_count += 1
        if self.error_status:
            return Response(self.error_status)
        path, _, query = target.partition("?")
        kind, _, name = path[len("/objects/"):].partition("/")
        objects = self.objects_by_kind.get(kind, {})
        if method == "POST":
            name = json.loads(body)["metadata"]["name"]
            if name in objects:
                return Response(409)
        elif name not in objects:
            return Response(404)
        if method == "DELETE":
            if query not in ("", f"rev={objects[name]['metadata']['rev']}"):
                return Response(409)
            self.delete(kind, name)
            return Response(200)
        self.put(kind, name, json.loads(body)["spec"])
        return self.json_response(self.objects_by_kind[kind][name])

    async def answer(self, target):
        self.request_count += 1
        if self.error_status:
            return Response(self.error_status)
        path, _, query = target.partition("?")
        options = dict(p.split("=") for p in query.split("&") if p)
        kind = path.split("/")[2]
        if "watch" in options:
            return await self.watch(kind, int(options["watch"]),
                                    int(options.get("waitMs", 0)) / 1000)
        items = [o for n, o in sorted(
                     self.objects_by_kind.get(kind, {}).items())
                 if n > options.get("after", "")]
        return self.json_response({"items": items[:50],
                                   "truncated": len(items) > 50,
                                   "currentRev": self.revision})

    async def watch(self, kind, since, wait_s):
        end = time.monotonic() + wait_s
        if since > self.revision:
            return Response(410)
        while True:
            if since < self.compacted_revision:
                return Response(410)
            events = [{"object": o, "deleted": d}
                      for r, k, _, o, d in self.history
                      if r > since and k == kind]
            remaining_s = end - time.monotonic()
            if events or remaining_s <= 0:
                return self.json_response({"events": events,
                                           "currentRev": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), remaining_s)
            except asyncio.TimeoutError:
                pass

    @staticmethod
    def json_response(value):
        return Response(200, {"Content-Type": "application/json"},
                        RAW_VALUE.sub(lambda found: found[1].replace("'", '"'),
                                      json.dumps(value)).encode()
                        .replace(NOT_UTF8.encode(), b"\xff\xfe"))


class Target(Server):
    """Base of engines and plain targets: identity, heartbeats, recorded runs.

    Each start is a new incarnation with an id of its own.
    """

    HEARTBEAT_INTERVAL_S = 0.2

    def __init__(self, store, host, port, service, zone, slots):
        super().__init__(host, port)
        self.store, self.service, self.zone = store, service, zone
        self.slots = slots
        self.start_count = 0
        self.id = ""
        self.started_ms = 0
        self.up = False
        self.draining = False
        self.software = "v1"  # version of its software
        self.keeps_id = False  # a start takes the id of the one before
        self.runs = []  # [id, path, adapter, version, incarnation, time]
        self.bodies_in_progress = []
        self.crashing_bodies = set()  # end the target that runs one of them
        self.crashing_parts = set()   # parts of prompts that do so, as bytes
        self.crashes = []  # [id, body or part, time] of runs that ended it
        self.restart_delay_s = 1.0  # after such a crash
        self.dark_crashes = False  # silent until the restart, not closed
        self.crash_delay_s = 0.0   # time from the start of such a run
        self.crash_in_stream = False  # engines stream events until then
        self.crashing_runs = []    # [id, body or part, time of their start]
        self.pace = None  # how long work takes, in percent of the usual
        self.server_limit = None  # requests a second, named in responses
        self.rejections = {}  # body to statuses of rejections before its run
        self.arrivals = []        # [id, incarnation, time] of all requests
        self.limits_told = []     # [id, incarnation, time, limit] of responses
        self.limits_ended = []    # times at which it stopped to name a limit
        # Statuses of responses that say that the target leaves; all: None.
        self.leaving_statuses = ()
        self.leaving_told = []    # [id, incarnation, time] of such responses
        self.busy_until = 0.0     # turns requests away until this time
        self.says_not_run = True  # when it turns requests away
        self.pauses_told = []     # [id, incarnation, time, end] of responses
        self.rejection_rate = 0.0  # share of requests rejected with 503
        self.active_runs = 0
        self.lost_response_rate = 0.0  # share of runs without a response
        self.lost_responses = []       # ids of these runs
        self.failure_rate = 0.0        # share that end with failure_status
        self.failure_status = 500
        self.heartbeat_task = None

    async def start(self):
        if not self.keeps_id:
            self.start_count += 1
        self.id = f"i-{self.host}-{self.start_count}"
        self.started_ms = int(time.time() * 1000)
        self.draining = False
        self.up = True
        await self.open()
        self.heartbeat_task = asyncio.ensure_future(self.send_heartbeats())

    async def crash(self):
        self.up = False
        self.heartbeat_task.cancel()
        await self.close()
        await asyncio.sleep(0)

    def deregister(self):
        self.store.delete("servers", self.id)

    def crash_cause(self, headers, body):
        """The body, or the part of the prompt, that ends the target when it
        runs the request; None for none."""
        if body in self.crashing_bodies:
            return body
        for part in headers.get("x-prompt-prefix", "").split(",")[:-1]:
            if part.partition(":")[0].encode() in self.crashing_parts:
                return part.partition(":")[0].encode()
        return None

    async def crash_by(self, headers, body):
        """Crashes and restarts if a run of the request ends the target.

        Returns whether it does.
        """
        cause = self.crash_cause(headers, body)
        if cause is None:
            return False
        incarnation = self.incarnation()
        self.crashing_runs.append((headers.get("x-request-id"), cause,
                                   time.monotonic()))
        if self.crash_delay_s > 0:
            await asyncio.sleep(self.crash_delay_s)
        if incarnation != self.incarnation() or not self.up:
            return True  # another run has ended this target
        self.crashes.append((headers.get("x-request-id"), cause,
                             time.monotonic()))
        if self.dark_crashes:
            self.unresponsive = True
            self.heartbeat_task.cancel()
        else:
            await self.crash()
        asyncio.get_running_loop().call_later(
            self.restart_delay_s,
            lambda: asyncio.ensure_future(self.restart()))
        return True

    async def end_of_crashed_run(self):
        """The run gets no response; its connection ends with the target."""
        while self.unresponsive:
            await asyncio.sleep(0.02)
        return None

    async def restart(self):
        """Starts a new incarnation unless the target is up already."""
        if self.unresponsive:
            await self.crash()
            self.unresponsive = False
        if not self.up:
            self.deregister()
            await self.start()

    def server_record(self):
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": self.software,
                "slots": self.slots,
                "state": "draining" if self.draining else "ready",
                "coldLeftMs": 0, "seq": 0, "born": self.started_ms}

    async def send_heartbeats(self):
        while True:
            self.store.put("servers", self.id, self.server_record())
            await asyncio.sleep(self.HEARTBEAT_INTERVAL_S)

    def check_instance(self, headers):
        """Returns a 421 response if the request names another incarnation."""
        expected = headers.get("x-expect-instance")
        if expected is not None and expected != self.id:
            return self.finish(headers, Response(
                421, {"X-Instance-Id": self.id,
                      "X-Request-Id": headers.get("x-request-id", "")}))
        return None

    def ask_for_pause(self, pause_s):
        """Turns all requests away for pause_s."""
        self.busy_until = time.monotonic() + pause_s

    def turn_away(self, headers):
        """Returns a 503 response if the request isn't wanted now."""
        now = time.monotonic()
        pausing = now < self.busy_until
        if not pausing and random.random() >= self.rejection_rate:
            return None
        result = self.response_headers(headers)
        if self.says_not_run:
            result["X-Not-Executed"] = "1"
        if pausing:
            result["Retry-After"] = f"{self.busy_until - now:.3f}"
            self.pauses_told.append((headers.get("x-request-id"),
                                     self.incarnation(), now,
                                     self.busy_until))
        return self.finish(headers, Response(503, result))

    def finish(self, headers, response):
        """Adds what the target says of itself in responses of this status."""
        if (self.leaving_statuses is None
                or response.status in self.leaving_statuses):
            response.headers["Server-Leaving"] = "1"
            self.leaving_told.append((headers.get("x-request-id"),
                                      self.incarnation(), time.monotonic()))
        return response

    def record_run(self, headers, target, adapter=None, version=None):
        headers["run"] = (headers.get("x-request-id"), target, adapter,
                          version, self.id, time.monotonic())
        self.runs.append(headers["run"])

    def record_arrival(self, headers):
        self.arrivals.append((headers.get("x-request-id"), self.incarnation(),
                              time.monotonic()))

    def incarnation(self):
        return self.id, self.started_ms

    def response_headers(self, headers):
        result = {"X-Request-Id": headers.get("x-request-id", ""),
                  "X-Server-Stamp": f"s-{self.id}", "Keep-Alive": "timeout=2",
                  "X-Server-Load": f"{self.active_runs},0,{self.slots}"}
        if self.pace is not None:
            result["X-Server-Load"] += f",{self.pace}"
        if self.server_limit is not None:
            result["Server-Limit"] = str(self.server_limit)
            self.limits_told.append((headers.get("x-request-id"),
                                     self.incarnation(), time.monotonic(),
                                     self.server_limit))
        return result

    def not_executed(self, headers, status):
        """Response that says that the target did not run the request."""
        response_headers = self.response_headers(headers)
        response_headers["X-Not-Executed"] = "1"
        return self.finish(headers, Response(status, response_headers))


class Plain(Target):
    """A plain target; its response repeats method, path and body length."""

    service_time_s = 0.005
    # If not None, called with the request's headers; returns the bytes that
    # are sent as response, as an async generator.
    raw_response = None

    async def handle(self, method, target, headers, body, writer):
        self.record_arrival(headers)
        mismatch = self.check_instance(headers)
        if mismatch is not None:
            return mismatch
        if target == "/health":
            return Response(200, {"X-Instance-Id": self.id})
        refusal = self.turn_away(headers)
        if refusal is not None:
            return refusal
        if self.rejections.get(body):
            return self.not_executed(headers, self.rejections[body].pop())
        self.record_run(headers, target)
        if self.raw_response is not None:
            return Response(raw=self.raw_response(headers))
        if await self.crash_by(headers, body):
            return await self.end_of_crashed_run()
        self.active_runs += 1
        self.bodies_in_progress.append(body)
        try:
            await asyncio.sleep(self.service_time_s)
        finally:
            self.active_runs -= 1
            self.bodies_in_progress.remove(body)
        if random.random() < self.lost_response_rate:
            self.lost_responses.append(headers.get("x-request-id"))
            return None
        failed = random.random() < self.failure_rate
        status = self.failure_status if failed else 200
        return self.finish(headers, Response(
            status, self.response_headers(headers),
            f"{method} {target} {len(body)}".encode()))


class Engine(Target):
    """A model engine with adapter slots."""

    MODEL = "m"
    adapter_load_s = 0.05
    model_load_s = 0.05
    event_interval_s = 0.01

    def __init__(self, store, host, port, service, zone, adapter_slots):
        super().__init__(store, host, port, service, zone, 64)
        self.adapter_slots = adapter_slots
        self.models = []
        self.adapters = {}  # name to version
        self.loading_adapters = {}  # name to version
        self.stream_counts = {}  # adapter to running streams
        self.order_count = 0
        self.fence = 0  # highest fencing token of an order since the start
        self.order_log = []
        self.slots_exceeded = False  # got more loads than it has slots
        self.orders_without_instance = 0  # had no X-Expect-Instance
        # Share of orders without a response, executed 0.5 to 2 s late.
        self.delayed_order_rate = 0.0
        # If not 0, each stream is cut after this number of events.
        self.cut_after_events = 0
        # If not 0, each stream is this number of events and a part of the next
        # one, sent at once and without a length.
        self.cut_inside_event = 0
        self.event_padding_bytes = 0  # added to the data of each event
        self.names_software = False   # in the data of each event
        self.spoilt_reports = False  # every second report is an error
        self.report_count = 0
        # If not 0, reports name this memory, in tokens, and the runs.
        self.memory_total = 0
        self.memory_used_max = 0
        self.in_memory = {}  # run to [id, tokens, events, priority]

    async def start(self, model=True):
        self.models = [self.MODEL] if model else []
        self.loading_model = False
        self.adapters, self.loading_adapters, self.stream_counts = {}, {}, {}
        self.order_count = 0
        self.fence = 0
        await super().start()

    def model_list(self):
        return [{"name": m, "version": 1,
                 "adapters": [f"{a}@{v}" for a, v in self.adapters.items()]}
                for m in self.models]

    def server_record(self):
        record = super().server_record()
        record["models"] = self.model_list()
        record["seq"] = self.order_count
        return record

    def memory_used(self):
        return sum(run[1] for run in self.in_memory.values())

    def report(self):
        report = self.adapter_report()
        if self.memory_total:
            report.update(kvTotal=self.memory_total,
                          kvUsed=self.memory_used(),
                          runs=list(self.in_memory.values()))
        return report

    def adapter_report(self):
        return {"stage": "colocated", "models": self.model_list(),
                "busy": self.loading_model,
                "seq": self.order_count, "queued": 0,
                "running": self.active_runs,
                "born": self.started_ms, "state": "ready",
                "incoming": [f"{self.MODEL}/{a}@{v}"
                             for a, v in self.loading_adapters.items()]}

    def latest_version(self, adapter):
        record = self.store.objects_by_kind.get("versions", {}).get(
            f"{self.MODEL}.{adapter}")
        return record["spec"]["version"] if record else 1

    async def handle(self, method, target, headers, body, writer):
        if target == "/report":
            self.report_count += 1
            if self.spoilt_reports and self.report_count % 2 == 0:
                return Response(500)
            return Store.json_response(self.report())
        mismatch = self.check_instance(headers)
        if mismatch is not None:
            return mismatch
        if target == "/order":
            order = json.loads(body)
            self.orders_without_instance += "x-expect-instance" not in headers
            self.order_log.append((order, time.monotonic()))
            if random.random() < self.delayed_order_rate:
                asyncio.get_running_loop().call_later(
                    random.uniform(0.5, 2), self.execute_delayed_order, order,
                    headers)
                return None
            return self.execute_order(order)
        return await self.run_request(target, headers, body)

    def execute_delayed_order(self, order, headers):
        """Executes the order in the present incarnation, unless the engine is
        down or the order names another incarnation."""
        if self.up and self.check_instance(headers) is None:
            self.execute_order(order)

    def execute_order(self, order):
        if "holder" not in order or "fence" not in order:
            return Response(400)
        if order["fence"] < self.fence:
            return Response(412)
        self.fence = order["fence"]
        if order.get("expect", self.order_count) != self.order_count:
            return Response(409)
        adapter = order.get("adapter")
        if order["operation"] == "load" and adapter is None:
            self.order_count += 1
            asyncio.ensure_future(self.load_model())
            return Response(202)
        if order["operation"] == "load":
            if adapter not in self.adapters and len(self.adapters) + len(
                    self.loading_adapters) >= self.adapter_slots:
                self.slots_exceeded = True
            self.order_count += 1
            version = order.get("version") or self.latest_version(adapter)
            self.loading_adapters[adapter] = version
            asyncio.ensure_future(self.load_adapter(adapter, version))
            return Response(202)
        if self.stream_counts.get(adapter):
            return Response(409)
        self.adapters.pop(adapter, None)
        self.order_count += 1
        return Response(200)

    async def load_model(self):
        incarnation = self.incarnation()
        self.loading_model = True
        await asyncio.sleep(self.model_load_s)
        if incarnation == self.incarnation():
            self.models = [self.MODEL]
            self.loading_model = False

    async def load_adapter(self, adapter, version):
        incarnation = self.incarnation()
        await asyncio.sleep(self.adapter_load_s)
        # A new version replaces the old one once no stream uses it.
        while self.stream_counts.get(adapter):
            await asyncio.sleep(0.005)
        if incarnation == self.incarnation() and self.loading_adapters.pop(adapter, None):
            self.adapters[adapter] = version

    async def run_request(self, target, headers, body):
        self.record_arrival(headers)
        refusal = self.turn_away(headers)
        if refusal is not None:
            return refusal
        model, _, adapter = headers.get("x-model", "").partition("/")
        if model not in self.models or (
                adapter and adapter not in self.adapters):
            return self.not_executed(headers, 421)
        version = self.adapters.get(adapter)
        expected = headers.get("x-expect-version")
        if expected is not None and int(expected) != version:
            return self.not_executed(headers, 421)
        self.record_run(headers, target, adapter, version)
        if self.crash_in_stream and self.crash_cause(headers, body):
            asyncio.ensure_future(self.crash_by(headers, body))
        elif await self.crash_by(headers, body):
            return await self.end_of_crashed_run()
        tokens, length = map(
            int, headers.get("x-token-usage", "0,10").split(","))
        last = int(headers.get("last-event-id", 0))
        response_headers = dict(self.response_headers(headers), **{
            "Content-Type": "text/event-stream"})
        if self.cut_inside_event:
            events = "".join(f"id: {n}\ndata: {adapter} {n}\n\n" for n in
                             range(last + 1, last + self.cut_inside_event + 2))
            return Response(200, response_headers, events[:-3].encode(),
                            ends_by_close=True)
        return self.finish(headers, Response(
            200, response_headers,
            chunks=self.generate_events(
                adapter, last, length,
                [headers.get("x-request-id"), tokens, 0, 1])))

    async def generate_events(self, adapter, last, length, run):
        incarnation = self.incarnation()
        software = f" {self.software}" if self.names_software else ""
        self.active_runs += 1
        self.in_memory[id(run)] = run
        self.stream_counts[adapter] = self.stream_counts.get(adapter, 0) + 1
        due = time.monotonic()
        try:
            for number in range(last + 1, length + 1):
                # Late timers don't slow the stream, unless by a whole event.
                due = max(due, time.monotonic() - self.event_interval_s)
                due += self.event_interval_s
                await asyncio.sleep(due - time.monotonic())
                while self.unresponsive:
                    await asyncio.sleep(0.02)
                if (self.cut_after_events
                        and number - last > self.cut_after_events):
                    raise ConnectionError
                run[1] += 1
                run[2] += 1
                self.memory_used_max = max(self.memory_used_max,
                                           self.memory_used())
                filler = software + "x" * self.event_padding_bytes
                event = f"id: {number}\ndata: {adapter} {number}{filler}\n\n"
                # Every fifth event is sent in two chunks.
                if number % 5 == 0:
                    yield event[:7].encode()
                    yield event[7:].encode()
                else:
                    yield event.encode()
        finally:
            self.active_runs -= 1
            del self.in_memory[id(run)]
            if incarnation == self.incarnation():
                self.stream_counts[adapter] -= 1
