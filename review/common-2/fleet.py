"""A small deployment on loopback for the cases of the second review.

It starts the programs of `deploy/system.toml` with the commands that stand
there and with settings from its templates, beside the project's own stand-ins
of the platform (`testing/fleet/standin.py`). Every case has a record, to which
it writes what was sent, answered and run.
"""
import asyncio
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "testing" / "fleet"))
sys.path.insert(0, str(ROOT / "testing" / "soak"))

from deployment import call  # noqa: E402
from standin import Engine, Plain, Store  # noqa: E402

# Exit codes of a case; run-case turns them into those of run.sh, as Python
# itself ends with 1 after an error.
HELD, BROKEN, NOT_RUN = 0, 3, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
START_TIMEOUT_S = 10
# Figures of the sheet of froid-armor.
BOUNDS = {"drainMs": 2000, "graceS": 8, "budgetRatio": 0.2,
          "budgetWindowS": 10, "budgetSlack": 56}
CONTACT_S = 3.0
HEARTBEAT_S = 1.2
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
          "headerTimeoutMs": 5000, "idleTimeoutMs": 30000}
ROLE = re.compile(r"^\[roles\.(\w+)\]$")
ENTRY = re.compile(r'^(\w+) = "(.*)"$')
TAG = re.compile(r"\{\{([#^/]?)([^{}|]*)(\|json)?\}\}")


class CannotRun(Exception):
    """The case can't be run here."""


def read_roles():
    """Reads the texts of each role in the deploy file. Python has a reader of
    TOML from 3.11 on only."""
    roles, role = {}, None
    for line in (ROOT / "deploy/system.toml").read_text().splitlines():
        if (head := ROLE.match(line)) is not None:
            role = roles.setdefault(head[1], {})
        elif role is not None and (entry := ENTRY.match(line)) is not None:
            role[entry[1]] = entry[2]
    return roles


def look_up(path, scopes):
    for scope in scopes:
        value = scope
        for part in path.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit():
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = None
        if value is not None:
            return value
    return None


def render(text, scopes):
    """Fills a settings template as the users' page DEPLOY says, as far as the
    templates of this project use it."""
    out, at = [], 0
    while (tag := TAG.search(text, at)) is not None:
        out.append(text[at:tag.start()])
        at = tag.end()
        mark, name = tag[1], tag[2]
        if mark in ("#", "^"):
            end = text.index("{{/" + name + "}}", at)
            inner = text[at:end]
            at = end + len("{{/" + name + "}}")
            value = look_up(name, scopes)
            if mark == "^":
                out.append("" if value else render(inner, scopes))
            elif isinstance(value, list):
                for i, item in enumerate(value):
                    last = i == len(value) - 1
                    out.append(render(
                        inner.replace("{{,}}", "" if last else ",")
                        .replace("{{.}}", str(item)), scopes))
            elif value:
                out.append(render(inner, scopes))
            continue
        value = look_up(name, scopes)
        out.append("" if value is None else
                   str(value).lower() if isinstance(value, bool) else
                   str(value))
    return "".join(out) + text[at:]


class Process:
    """A program of the deploy file with its settings file and its log."""

    def __init__(self, fleet, role, name, host, facts):
        self.fleet, self.role, self.name, self.host = fleet, role, name, host
        self.facts = facts
        self.log = fleet.folder / f"{name}.log"
        self.settings = fleet.folder / f"{name}.settings"
        self.process = None
        self.started_at = 0.0

    async def start(self):
        self.settings.write_text(render(
            (ROOT / self.role["template"]).read_text(), [self.facts]))
        command = self.role["run"].split()
        with open(self.log, "ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                str(ROOT / command[0]), *command[1:], cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL, stdout=out, stderr=out,
                env={"PATH": os.environ.get("PATH", ""),
                     "HOME": os.environ.get("HOME", "/"),
                     "CORIANDERMOOR_BOOT": str(self.settings)})
        self.started_at = time.monotonic()

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self):
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def log_text(self):
        return self.log.read_text(errors="replace")


class Fleet:
    """Gateways, engines with their agents, plain targets and the store."""

    def __init__(self, record, gateways=3, engines=4, plains=0, slots=6,
                 plain_slots=6):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        self.roles = read_roles()
        for role in self.roles.values():
            program = ROOT / role["run"].split()[0]
            if not program.exists():
                raise CannotRun(f"{program} is not built")
        self.net, self.port = self.find_free()
        self.slots = slots
        self.store = Store(self.host(4, 1), self.port)
        self.engines = [
            Engine(self.store, self.host(1, i + 1), self.port, "llm",
                   "ab"[i % 2], slots) for i in range(engines)]
        self.plains = [
            Plain(self.store, self.host(2, i + 1), self.port, "app",
                  "ab"[i % 2], plain_slots) for i in range(plains)]
        for target in self.engines + self.plains:
            target.HEARTBEAT_INTERVAL_S = HEARTBEAT_S
        self.agents = [self.make_agent(i) for i in range(engines)]
        self.gateways = [self.make_gateway(i, gateways)
                         for i in range(gateways)]
        self.routes, self.version = [], 0
        self.tenants = None

    def host(self, kind, number):
        return f"127.{self.net}.{kind}.{number}"

    @staticmethod
    def find_free():
        """A loopback network and a port at which nobody listens."""
        for _ in range(100):
            net = random.randrange(10, 250)
            port = random.randrange(21000, 31000)
            try:
                for kind, number in ((1, 1), (2, 1), (3, 1), (4, 1)):
                    for probed in (port, port + 1, port + 4, 9102):
                        with socket.socket() as probe:
                            probe.bind((f"127.{net}.{kind}.{number}", probed))
                return net, port
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def facts(self, name, host, zone):
        return {"node": name, "ip": host, "zone": zone, "bounds": BOUNDS,
                "portRange": [self.port + 4, self.port + 5],
                "limits": {"maxFds": 4100},
                "platform": {"address": self.store.address}}

    def make_agent(self, i):
        host = self.engines[i].host
        facts = self.facts(f"side-{i}", host, "ab"[i % 2])
        facts["app"] = self.engines[i].address
        return Process(self, self.roles["agent"], f"side-{i}", host, facts)

    def make_gateway(self, i, n):
        host = self.host(3, i + 1)
        facts = self.facts(f"front-{i}", host, "ab"[i % 2])
        facts["listen"] = {"front": f"{host}:{self.port}",
                           "ready": f"{host}:{self.port + 1}",
                           "control": f"{host}:{self.port + 2}"}
        facts["seeds"] = [f"{self.host(3, j + 1)}:{self.port + 2}"
                          for j in range(min(n, 3))]
        return Process(self, self.roles["gateway"], f"front-{i}", host, facts)

    def route(self, name, kind, service, timeout_ms, attempts, **more):
        self.routes.append(dict(
            {"name": name, "host": "h.example", "pathPrefix": f"/{name}/",
             "kind": kind, "service": service, "timeoutMs": timeout_ms,
             "targetLatencyMs": 800, "priority": 1, "maxAttempts": attempts},
            **more))

    def publish(self):
        self.version += 3
        spec = {"version": self.version, "routes": [dict(r) for r in
                                                    self.routes],
                "services": [
                    {"name": "llm", "maxConnections": 370, "engine": {
                        "slots": 64, "kvTokens": 149847,
                        "adapterSlots": self.slots, "weightsMb": 74600,
                        "models": [{"name": Engine.MODEL, "weightsMb": 72700,
                                    "loadS": 0.6, "adapters": 3000,
                                    "adapterMb": 66}]}},
                    ] + [{"name": name, "maxConnections": 110}
                         for name in sorted({p.service for p in
                                             self.plains})],
                "limits": dict(LIMITS)}
        if self.tenants is not None:
            spec["tenants"] = self.tenants
        self.store.put("config", "main", spec)

    async def up(self):
        try:
            await self.store.open()
            for target in self.engines + self.plains:
                await target.start()
        except OSError as error:
            raise CannotRun(str(error)) from error
        self.publish()
        for process in self.agents + self.gateways:
            await process.start()
        for gateway in self.gateways:
            await self.until_ready(gateway)

    async def until_ready(self, gateway):
        end = time.monotonic() + START_TIMEOUT_S
        while not await self.is_ready(gateway):
            if time.monotonic() > end:
                raise CannotRun(f"{gateway.name} is not ready")
            await asyncio.sleep(0.05)

    async def is_ready(self, gateway):
        try:
            status, _, _, _ = await call(gateway.host, self.port + 1, "GET",
                                         "/ready")
            return status == 200
        except (OSError, ValueError, IndexError, asyncio.TimeoutError):
            return False

    async def down(self):
        for process in self.gateways + self.agents:
            await process.kill()
        for target in self.engines + self.plains:
            if target.up:
                await target.crash()
        await self.store.close()


class Record:
    """What was sent, answered and run, in record.txt of the case."""

    def __init__(self, folder):
        self.out = open(pathlib.Path(folder) / "record.txt", "w")
        self.began = time.monotonic()

    def write(self, text):
        self.out.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.out.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


def run(folder, case, limit_s=110, **options):
    """Runs case(fleet, record), which returns whether the rule held, and
    exits with the code that a case has."""

    async def play():
        # A case that is told to end still ends what it has started.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        record = Record(folder)
        fleet = None
        try:
            fleet = Fleet(record, **options)
            held = await asyncio.wait_for(case(fleet, record), limit_s)
            record.say("the rule held" if held else "the rule was broken")
            return HELD if held else BROKEN
        except CannotRun as error:
            record.say(f"the case couldn't run: {error}")
            return NOT_RUN
        except asyncio.CancelledError:
            record.say("the case was told to end")
            return NOT_RUN
        except Exception:  # a fault of the case itself shows nothing
            record.say("the case couldn't run: " + traceback.format_exc())
            return NOT_RUN
        finally:
            if fleet is not None:
                await fleet.down()
                if os.environ.get("KEEP"):
                    print("logs in", fleet.folder)
                else:
                    for path in fleet.folder.iterdir():
                        path.unlink()
                    fleet.folder.rmdir()
    sys.exit(asyncio.run(play()))
