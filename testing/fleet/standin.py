"""Stand-ins for the users' platform, in its own form, on loopback.

One asyncio loop plays the platform's store, model engines and plain targets.
Each takes faults by attributes, and records what it saw, so that a test can
check promises from the outside.
"""
import asyncio
import json
import random
import time

BLOCK = 65536


class Answer:
    """One HTTP response; `chunks` streams, `raw` overrides all."""

    def __init__(self, status=200, headers=None, body=b"", chunks=None):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.chunks = chunks


class Server:
    """A small HTTP/1.1 server; subclasses implement handle()."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.silent = False
        self.connections = set()
        self.server = None

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.host,
                                                 self.port, reuse_address=True)

    async def close(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        self.drop_connections()

    def drop_connections(self):
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()

    async def serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            if line:
                name, value = line.split(":", 1)
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        while self.silent:
            await asyncio.sleep(0.02)
        answer = await self.handle(method, target, headers, body, writer)
        if answer is None:
            return False
        await self.send(writer, answer)
        return True

    async def send(self, writer, answer):
        head = [f"HTTP/1.1 {answer.status} X"]
        head += [f"{k}: {v}" for k, v in answer.headers.items()]
        if answer.chunks is None:
            head.append(f"Content-Length: {len(answer.body)}")
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode()
                         + answer.body)
            await writer.drain()
            return
        head.append("Transfer-Encoding: chunked")
        writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
        try:
            async for chunk in answer.chunks:
                if writer.transport.is_closing():
                    raise ConnectionError
                writer.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
                await writer.drain()
        finally:
            await answer.chunks.aclose()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def handle(self, method, target, headers, body, writer):
        raise NotImplementedError


class Store(Server):
    """The platform's store: objects, revisions, watches."""

    def __init__(self, host, port):
        super().__init__(host, port)
        self.kinds = {}
        self.revision = 1
        self.history = []  # (revision, kind, name, object, deleted)
        self.forgotten = 0
        self.refuse = 0  # status to answer everything with
        self.changed = asyncio.Event()
        self.calls = 0

    def put(self, kind, name, spec):
        objects = self.kinds.setdefault(kind, {})
        if name in objects and objects[name]["spec"] == spec:
            return
        self.revision += 1
        objects[name] = {"metadata": {"name": name, "rev": self.revision},
                         "spec": spec, "status": None}
        self.note(kind, name, objects[name], False)

    def delete(self, kind, name):
        gone = self.kinds.get(kind, {}).pop(name, None)
        if gone is not None:
            self.revision += 1
            self.note(kind, name, gone, True)

    def note(self, kind, name, thing, deleted):
        self.history.append((self.revision, kind, name, thing, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def forget_history(self):
        self.history.clear()
        self.forgotten = self.revision

    async def handle(self, method, target, headers, body, writer):
        self.calls += 1
        if self.refuse:
            return Answer(self.refuse)
        path, _, query = target.partition("?")
        options = dict(p.split("=") for p in query.split("&") if p)
        kind = path.split("/")[2]
        if "watch" in options:
            return await self.watch(kind, int(options["watch"]),
                                    int(options.get("waitMs", 0)) / 1000)
        items = [o for n, o in sorted(self.kinds.get(kind, {}).items())
                 if n > options.get("after", "")]
        return self.json({"items": items[:50], "truncated": len(items) > 50,
                          "currentRev": self.revision})

    async def watch(self, kind, since, wait_s):
        end = time.monotonic() + wait_s
        while True:
            if since < self.forgotten:
                return Answer(410)
            events = [{"object": o, "deleted": d}
                      for r, k, _, o, d in self.history
                      if r > since and k == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return self.json({"events": events,
                                  "currentRev": self.revision})
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    @staticmethod
    def json(value):
        return Answer(200, {"Content-Type": "application/json"},
                      json.dumps(value).encode())


class Target(Server):
    """What engines and plain targets share: runs, identity, heartbeat."""

    BEAT_S = 0.2

    def __init__(self, store, host, port, service, zone, slots):
        super().__init__(host, port)
        self.store, self.service, self.zone = store, service, zone
        self.slots = slots
        self.starts = 0
        self.id = ""
        self.born = 0
        self.up = False
        self.draining = False
        self.runs = []  # [id, path, adapter, version, incarnation, time]
        self.running = 0
        self.lose_answer = 0.0  # share of runs whose answer is lost
        self.fail = 0.0         # share of runs that end with fail_status
        self.fail_status = 500
        self.beat_task = None

    async def start(self):
        self.starts += 1
        self.id = f"i-{self.host}-{self.starts}"
        self.born = int(time.time() * 1000)
        self.draining = False
        self.up = True
        await self.open()
        self.beat_task = asyncio.ensure_future(self.beat())

    async def crash(self):
        self.up = False
        self.beat_task.cancel()
        await self.close()
        await asyncio.sleep(0)

    def leave_list(self):
        self.store.delete("servers", self.id)

    def entry(self):
        return {"service": self.service, "address": self.address,
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": "draining" if self.draining else "ready",
                "coldLeftMs": 0, "seq": 0, "born": self.born}

    async def beat(self):
        while True:
            self.store.put("servers", self.id, self.entry())
            await asyncio.sleep(self.BEAT_S)

    def misdirected(self, headers):
        expected = headers.get("x-expect-instance")
        if expected is not None and expected != self.id:
            return Answer(421, {"X-Instance-Id": self.id})
        return None

    def record(self, headers, target, adapter=None, version=None):
        self.runs.append((headers.get("x-request-id"), target, adapter,
                          version, self.id, time.monotonic()))

    def stamp(self, headers):
        return {"X-Request-Id": headers.get("x-request-id", ""),
                "X-Server-Stamp": f"s-{self.id}", "Keep-Alive": "timeout=2",
                "X-Server-Load": f"{self.running},0,{self.slots}"}


class Plain(Target):
    """A plain target: echoes the request's path."""

    work_s = 0.005

    async def handle(self, method, target, headers, body, writer):
        wrong = self.misdirected(headers)
        if wrong is not None:
            return wrong
        if target == "/health":
            return Answer(200, {"X-Instance-Id": self.id})
        self.record(headers, target)
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        if random.random() < self.lose_answer:
            return None
        failed = random.random() < self.fail
        status = self.fail_status if failed else 200
        return Answer(status, self.stamp(headers),
                      f"{method} {target} {len(body)}".encode())


class Engine(Target):
    """A model engine with adapter slots."""

    MODEL = "m"
    load_s = 0.05
    model_load_s = 0.05
    gap_s = 0.01

    def __init__(self, store, host, port, service, zone, adapter_slots):
        super().__init__(store, host, port, service, zone, 64)
        self.adapter_slots = adapter_slots
        self.models = []
        self.adapters = {}  # name to version
        self.incoming = {}
        self.using = {}
        self.orders = 0
        self.order_log = []
        self.overfilled = False
        self.unnamed_orders = 0
        self.lose_orders = 0.0
        self.cut_after = 0  # events after which each stream is cut
        self.padding = 0    # bytes added to each event

    async def start(self, model=True):
        self.models = [self.MODEL] if model else []
        self.loading_model = False
        self.adapters, self.incoming, self.using = {}, {}, {}
        self.orders = 0
        await super().start()

    def listed(self):
        return [{"name": m, "version": 1,
                 "adapters": [f"{a}@{v}" for a, v in self.adapters.items()]}
                for m in self.models]

    def entry(self):
        entry = super().entry()
        entry["models"] = self.listed()
        entry["seq"] = self.orders
        return entry

    def report(self):
        return {"stage": "colocated", "models": self.listed(),
                "busy": self.loading_model,
                "seq": self.orders, "queued": 0, "running": self.running,
                "born": self.born, "state": "ready",
                "incoming": [f"{self.MODEL}/{a}@{v}"
                             for a, v in self.incoming.items()]}

    def newest(self, adapter):
        record = self.store.kinds.get("versions", {}).get(
            f"{self.MODEL}.{adapter}")
        return record["spec"]["version"] if record else 1

    async def handle(self, method, target, headers, body, writer):
        if target == "/report":
            return Store.json(self.report())
        wrong = self.misdirected(headers)
        if wrong is not None:
            return wrong
        if target == "/order":
            order = json.loads(body)
            self.unnamed_orders += "x-expect-instance" not in headers
            self.order_log.append((order, time.monotonic()))
            if random.random() < self.lose_orders:
                asyncio.get_running_loop().call_later(
                    random.uniform(0.5, 2), self.take_late, order, headers)
                return None
            return self.take_order(order)
        return await self.run(target, headers)

    def take_late(self, order, headers):
        """An order carried out late meets whoever is there by then."""
        if self.up and self.misdirected(headers) is None:
            self.take_order(order)

    def take_order(self, order):
        if "holder" not in order or "fence" not in order:
            return Answer(400)
        if order.get("expect", self.orders) != self.orders:
            return Answer(409)
        adapter = order.get("adapter")
        if order["operation"] == "load" and adapter is None:
            self.orders += 1
            asyncio.ensure_future(self.load_model())
            return Answer(202)
        if order["operation"] == "load":
            if adapter not in self.adapters and len(self.adapters) + len(
                    self.incoming) >= self.adapter_slots:
                self.overfilled = True
            self.orders += 1
            version = order.get("version") or self.newest(adapter)
            self.incoming[adapter] = version
            asyncio.ensure_future(self.load(adapter, version))
            return Answer(202)
        if self.using.get(adapter):
            return Answer(409)
        self.adapters.pop(adapter, None)
        self.orders += 1
        return Answer(200)

    async def load_model(self):
        incarnation = self.id
        self.loading_model = True
        await asyncio.sleep(self.model_load_s)
        if incarnation == self.id:
            self.models = [self.MODEL]
            self.loading_model = False

    async def load(self, adapter, version):
        incarnation = self.id
        await asyncio.sleep(self.load_s)
        while self.using.get(adapter):
            await asyncio.sleep(0.005)
        if incarnation == self.id and self.incoming.pop(adapter, None):
            self.adapters[adapter] = version

    def refuse(self, headers, status):
        answer = self.stamp(headers)
        answer["X-Not-Executed"] = "1"
        return Answer(status, answer)

    async def run(self, target, headers):
        model, _, adapter = headers.get("x-model", "").partition("/")
        if model not in self.models or (
                adapter and adapter not in self.adapters):
            return self.refuse(headers, 421)
        version = self.adapters.get(adapter)
        expected = headers.get("x-expect-version")
        if expected is not None and int(expected) != version:
            return self.refuse(headers, 421)
        self.record(headers, target, adapter, version)
        length = int(headers.get("x-token-usage", "0,10").split(",")[1])
        last = int(headers.get("last-event-id", 0))
        return Answer(200, dict(self.stamp(headers), **{
            "Content-Type": "text/event-stream"}),
            chunks=self.events(adapter, last, length))

    async def events(self, adapter, last, length):
        incarnation = self.id
        self.running += 1
        self.using[adapter] = self.using.get(adapter, 0) + 1
        try:
            for number in range(last + 1, length + 1):
                await asyncio.sleep(self.gap_s)
                while self.silent:
                    await asyncio.sleep(0.02)
                if self.cut_after and number - last > self.cut_after:
                    raise ConnectionError
                filler = "x" * self.padding
                event = f"id: {number}\ndata: {adapter} {number}{filler}\n\n"
                # Sometimes an event arrives in two parts.
                if number % 5 == 0:
                    yield event[:7].encode()
                    yield event[7:].encode()
                else:
                    yield event.encode()
        finally:
            self.running -= 1
            if incarnation == self.id:
                self.using[adapter] -= 1
