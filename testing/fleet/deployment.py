"""A small deployment on loopback: platform stand-ins, real programs."""
import asyncio
import copy
import json
import os
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent
                       / "soak"))

from proxy import Proxy  # noqa: E402
from standin import Engine, Plain, Store  # noqa: E402

START_TIMEOUT_S = 10
# Time in which a seed grants no retries after its start, in windows, and the
# time for which a permit is valid.
RESERVE_WINDOWS, RESERVE_VALID_S = 1.1, 1.0
# Timeouts of the routes to engines, to plain targets, and of route "slow".
STREAM_TIMEOUT_MS = 4000
PLAIN_TIMEOUT_MS = 800
SLOW_TIMEOUT_MS = 12000


def contains(mask, number):
    return mask >> (number - 1) & 1


class Process:
    """A gateway or agent process that writes its output to a log file."""

    def __init__(self, name, command, log):
        self.name, self.command, self.log = name, command, log
        self.process = None

    async def start(self):
        out = open(self.log, "ab")
        self.process = await asyncio.create_subprocess_exec(
            *self.command, stdin=asyncio.subprocess.DEVNULL, stdout=out,
            stderr=out)
        out.close()

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    def read_mask(self, name):
        """One of the signal masks of the first thread."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status")
        for line in status.read_text().splitlines():
            if line.startswith(name + ":"):
                return int(line.split()[1], 16)
        raise KeyError(name)

    def has_reached_main(self):
        """Whether main() has begun, as seen by the signals that it blocks,
        catches or ignores. Before, the dynamic loader runs."""
        return (contains(self.read_mask("SigBlk"), signal.SIGHUP)
                or contains(self.read_mask("SigCgt"), signal.SIGHUP)
                or contains(self.read_mask("SigIgn"), signal.SIGPIPE))

    async def reach_main(self):
        """Returns once main() has begun, or the process has ended."""
        end = time.monotonic() + START_TIMEOUT_S
        try:
            while not self.has_reached_main():
                if time.monotonic() > end:
                    raise TimeoutError(f"{self.name} does not reach main()")
                await asyncio.sleep(0.001)
        except (FileNotFoundError, ProcessLookupError):
            pass

    async def wait(self, timeout_s):
        return await asyncio.wait_for(self.process.wait(), timeout_s)

    async def kill(self):
        self.signal(signal.SIGKILL)
        await self.process.wait()


class Deployment:
    """Engines and their agents at 127.0.1.N, plain targets at 127.0.2.N,
    gateways at 127.0.3.N, the store at 127.0.4.1."""

    def __init__(self, build, folder, engines=3, plains=2, gateways=2,
                 adapter_slots=3, port=23000, drain_ms=2000, files=1000,
                 retry_reserves=None, gateway_settings="",
                 store_proxies=False, retry_window_s=10, seeds=(0, 1),
                 started=None):
        self.build, self.folder = pathlib.Path(build), pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.port = port
        self.drain_ms = drain_ms
        self.files = files
        self.retry_reserves = retry_reserves or {}  # by gateway, otherwise 50
        self.retry_window_s = retry_window_s
        self.adapter_slots = adapter_slots
        self.seeds = seeds  # numbers of gateways, in the settings of each
        self.gateway_settings = gateway_settings  # further lines
        self.store = Store("127.0.4.1", port)
        # One for each gateway, so that the store can be away for some.
        self.store_proxies = [
            Proxy(f"127.0.4.{i + 11}", port, "127.0.4.1", port)
            for i in range(gateways if store_proxies else 0)]
        self.engines = [
            Engine(self.store, f"127.0.1.{i + 1}", port, "llm", "ab"[i % 2],
                   adapter_slots) for i in range(engines)]
        self.plains = [Plain(self.store, f"127.0.2.{i + 1}", port, "app",
                             "ab"[i % 2], 6) for i in range(plains)]
        self.version = 0
        self.extra_routes = []
        # Routes of targets of their own service, each with its kind. Service
        # and route have the same name.
        self.extra_services = {}
        self.public_routes = []  # to plain targets, for callers without a key
        self.tenants = None      # client accounts; None for none
        self.limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 1000000,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        self.agents = [self.make_agent(i) for i in range(engines)]
        self.gateways = [self.make_gateway(i) for i in range(gateways)]
        # The others are started by the test.
        self.started = gateways if started is None else started

    def write_settings(self, name, text):
        path = self.folder / f"{name}.yaml"
        path.write_text(text)
        return str(path)

    def make_agent(self, i):
        host = self.engines[i].host
        path = self.write_settings(f"agent{i}", (
            f'name: "agent{i}"\nzone: "{"ab"[i % 2]}"\n'
            f'listen: "{host}:{self.port + 1}"\n'
            f'admin: "{host}:{self.port + 2}"\n'
            f'engine: "{host}:{self.port}"\n'))
        return Process(f"agent{i}", [
            str(self.build / "coriandermoor-slots"), "--settings", path],
            self.folder / f"agent{i}.log")

    def make_gateway(self, i):
        path = self.write_gateway_settings(i, self.seeds)
        return Process(f"gateway{i}", [
            str(self.build / "coriandermoor-gateway"), "--settings", path],
            self.folder / f"gateway{i}.log")

    def write_gateway_settings(self, i, seeds):
        host = f"127.0.3.{i + 1}"
        seed_list = ", ".join(f'"127.0.3.{seed + 1}:{self.port + 3}"'
                              for seed in seeds)
        store = (f"127.0.4.{i + 11}:{self.port}" if self.store_proxies
                 else self.store.address)
        return self.write_settings(f"gateway{i}", (
            f'name: "gateway{i}"\nzone: "{"ab"[i % 2]}"\n'
            f'listen: "{host}:{self.port}"\nready: "{host}:{self.port + 1}"\n'
            f'admin: "{host}:{self.port + 2}"\n'
            f'control: "{host}:{self.port + 3}"\n'
            f'seeds: [{seed_list}]\n'
            f'store: "{store}"\nagent_port: {self.port + 1}\n'
            f'retry_ratio: 0.2\nretry_window_s: {self.retry_window_s}\n'
            f'retry_reserve: {self.retry_reserves.get(i, 50)}\n'
            f'stop_s: 8\ndrain_ms: {self.drain_ms}\nfiles: {self.files}\n'
            + self.gateway_settings))

    def publish_config(self):
        """Writes the next version of the configuration to the store."""
        self.version += 1

        def route(name, kind, service, timeout, attempts, **options):
            return dict({"name": name, "host": "h.example",
                         "pathPrefix": f"/{name}/", "kind": kind,
                         "timeoutMs": timeout, "targetLatencyMs": 400,
                         "priority": 1, "service": service,
                         "maxAttempts": attempts}, **options)
        routes = [
            route("resumed", "streaming", "llm", STREAM_TIMEOUT_MS, 2,
                  resumable=True, targetGapMs=300),
            route("once-stream", "streaming", "llm", STREAM_TIMEOUT_MS, 1,
                  resumable=False, targetGapMs=300),
            route("slow", "streaming", "llm", SLOW_TIMEOUT_MS, 2,
                  resumable=True, targetGapMs=300),
            route("once", "unsafe", "app", PLAIN_TIMEOUT_MS, 1),
            route("again", "safe", "app", PLAIN_TIMEOUT_MS, 2),
            route("patient", "safe", "app", STREAM_TIMEOUT_MS, 2),
            route("large", "safe", "app", PLAIN_TIMEOUT_MS, 2),
            route("slow-once", "unsafe", "app", STREAM_TIMEOUT_MS, 1),
            route("long-once", "unsafe", "app", SLOW_TIMEOUT_MS, 1),
        ] + [route(name, "safe", "app", PLAIN_TIMEOUT_MS, 2)
             for name in self.extra_routes
             ] + [route(name, "safe", "app", PLAIN_TIMEOUT_MS, 2, public=True)
                  for name in self.public_routes
             ] + [route(name, kind, name, PLAIN_TIMEOUT_MS, 2,
                        **({"resumable": False, "targetGapMs": 300}
                           if kind == "streaming" else {}))
                  for name, kind in self.extra_services.items()]
        services = [
            {"name": "llm", "maxConnections": 300, "engine": {
                "slots": 64, "kvTokens": 100000,
                "adapterSlots": self.adapter_slots,
                "models": [{"name": Engine.MODEL, "adapters": 100}]}},
            {"name": "app", "maxConnections": 100}
        ] + [{"name": name, "maxConnections": 100}
             for name in self.extra_services]
        self.config = {
            "version": self.version, "routes": routes, "services": services,
            "limits": dict(self.limits)}
        if self.tenants is not None:
            self.config["tenants"] = copy.deepcopy(self.tenants)
        self.store.put("config", "main", self.config)

    async def up(self):
        await self.store.open()
        for proxy in self.store_proxies:
            await proxy.open()
        self.publish_config()
        for target in self.engines + self.plains:
            await target.start()
        for process in self.agents + self.gateways[:self.started]:
            await process.start()
        for i in range(self.started):
            await self.wait_ready(i)

    async def wait_ready(self, i):
        end = time.monotonic() + START_TIMEOUT_S
        while not await self.is_ready(i):
            if time.monotonic() > end:
                raise TimeoutError(f"gateway {i} not ready after "
                                   f"{START_TIMEOUT_S} s")
            await asyncio.sleep(0.05)

    async def wait_for_reserve(self):
        """Seeds grant nothing of the retry reserve until the window of what
        their predecessors may have granted is over."""
        await asyncio.sleep(self.retry_window_s * RESERVE_WINDOWS
                            + RESERVE_VALID_S)

    async def is_ready(self, i):
        try:
            status, _, _, _ = await call(f"127.0.3.{i + 1}", self.port + 1,
                                         "GET", "/ready")
            return status == 200
        except OSError:
            return False

    async def read_metric(self, host, name):
        _, _, body, _ = await call(host, self.port + 2, "GET", "/metrics")
        for line in body.decode().splitlines():
            if line.startswith(name + " "):
                return int(line.split()[1])
        raise KeyError(name)

    async def down(self):
        for process in self.gateways + self.agents:
            if process.process is not None:
                process.signal(signal.SIGKILL)
                await process.process.wait()
        for target in self.engines + self.plains:
            if target.up:
                await target.crash()
        for proxy in self.store_proxies:
            await proxy.close()
        await self.store.close()

    def runs(self):
        return [run for t in self.engines + self.plains for run in t.runs]

    def sanitizer_reports(self):
        return [str(p) for p in self.folder.glob("*.log")
                if b"Sanitizer" in p.read_bytes()
                or b"runtime error" in p.read_bytes()]


async def call(host, port, method, path, headers=None, body=b"",
               timeout_s=10):
    """Sends one request on a new connection.

    Returns status, headers, body and whether the response was complete.
    """
    reader, writer = await asyncio.wait_for(
        asyncio.open_connection(host, port), timeout_s)
    try:
        lines = [f"{method} {path} HTTP/1.1", "Host: h.example",
                 "Connection: close"]
        lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        data = await asyncio.wait_for(read_to_eof(reader), timeout_s)
    finally:
        writer.transport.abort()
    return parse_response(data)


async def read_to_eof(reader):
    data = b""
    try:
        while True:
            block = await reader.read(65536)
            if not block:
                return data
            data += block
    except ConnectionError:
        return data


def parse_response(data):
    if b"\r\n\r\n" not in data:
        return 0, {}, b"", False
    head, _, rest = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    status = int(lines[0].split(" ")[1])
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        body, complete = b"", False
        while b"\r\n" in rest:
            size, _, rest = rest.partition(b"\r\n")
            count = int(size, 16)
            if count == 0:
                complete = True
                break
            body += rest[:count]
            rest = rest[count + 2:]
        return status, headers, body, complete
    length = int(headers.get("content-length", len(rest)))
    return status, headers, rest[:length], len(rest) >= length


def request_headers(number, adapter=None, tokens=100, events=10,
                    deadline_ms=3500):
    headers = {"X-Request-Id": f"{number:016x}",
               "X-Deadline-Ms": str(deadline_ms)}
    if adapter is not None:
        headers["X-Model"] = f"{Engine.MODEL}/{adapter}"
        headers["X-Token-Usage"] = f"{tokens},{events}"
        headers["X-Prompt-Prefix"] = f"ab:{tokens}"
    return headers


def expected_events(adapter, count, last=0):
    return "".join(f"id: {n}\ndata: {adapter} {n}\n\n"
                   for n in range(last + 1, count + 1)).encode()
