#!/usr/bin/env python3
"""Soak test with random faults for gateways and agents on the platform.

Runs the real programs against the platform stand-ins, injects faults from
outside (connection faults by proxies, signals, restarts, store and engine
faults) and checks the guarantees against what callers and targets observe.
The same seed draws the same faults; their timing depends on the machine.

    testing/soak/soak.py --seed 7 --seconds 60
"""
import argparse
import asyncio
import os
import pathlib
import random
import signal
import re
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "testing" / "fleet"))

from accounts import (REVOKE_S, SETTINGS, WINDOW_S, account,  # noqa: E402
                      allowed_in_window, run_times)
from cases import GATEWAYS  # noqa: E402
from deployment import (Deployment, call, expected_events,  # noqa: E402
                        request_headers)
from limits import broken_limits  # noqa: E402
from notices import Sent, broken_pauses, late_requests  # noqa: E402
from proxy import Proxy  # noqa: E402
from retries import worst_window  # noqa: E402
from streams import Stream  # noqa: E402

ADAPTERS = 14
REQUESTS_PER_S = 25
SETTLE_S = 6.0  # without faults, until time limits are checked again
# Limits of the platform: from the announcement of an adapter version, or from
# the start of draining, until requests must follow it.
VERSION_BOUND_S = 5.0
DRAIN_BOUND_S = 2.0
RECOVERY_TIMEOUT_S = 15.0
# A content that has crashed three targets may be sent three times more once
# this time has passed.
CONTACT_S = 3.0
CRASHES = 3
LATE_SENDS_MAX = 3
CRASHING_SHARE = 0.04  # of requests
CRASHING_CONTENTS = 1  # for each route
# Longest fault of a link, which may hold back what a target has said.
FAULT_MAX_S = 4.5
# Streams that may hold events of two versions of an engine's software.
MIXED_STREAMS_MAX = 2
VERSIONS = ("v1", "v1.1")
RESUMED_STREAMS_PER_S = 4
COPY_INTERVAL_S = 1.0  # between copies of the store
COPIES = 6
# Accounts of the callers: one without a quota, one whose keys are withdrawn,
# one with a quota in requests that its callers exceed.
KEY, QUOTA_KEY = "key-of-steady", "key-of-limited"
QUOTA_PER_S, QUOTA_BURST, QUOTA_SLACK = 4, 4, 10
KEY_CHANGE_S = 2.5  # mean time between withdrawals
# The retry budget with --small-budget, besides a fifth of the requests.
BUDGET_WINDOW_S, BUDGET_RESERVE = 3, 6


def crashing_body(route, number):
    """A content is a path and a body, so each route has its own bodies."""
    return b"crash %s %d" % (route.encode(), number)


CRASHING_BODIES = [crashing_body(route, number)
                   for route in ("resumed", "once-stream", "once")
                   for number in range(CRASHING_CONTENTS)]


class Soak:
    def __init__(self, args):
        self.seed = args.seed
        self.random = random.Random(args.seed)
        self.seconds = args.seconds
        self.check_time_limits = not args.untimed
        # Draws of their own: those of the other faults stay as they are.
        self.account_random = random.Random(f"accounts {args.seed}")
        self.accounts = args.accounts
        self.small_budget = args.small_budget
        self.other_seeds = args.other_seeds
        self.keys = {}            # id to key
        self.newest_key = "key-of-changing-0"
        self.withdrawn_at = {}    # key to time
        folder = tempfile.mkdtemp(prefix=f"soak-{args.seed}-")
        self.deployment = Deployment(
            args.build, folder, engines=args.engines, plains=args.plains,
            gateways=args.gateways, adapter_slots=3, port=args.port,
            gateway_settings=SETTINGS if args.accounts else "",
            **(dict(retry_window_s=BUDGET_WINDOW_S, retry_reserves=dict.fromkeys(
                range(args.gateways), BUDGET_RESERVE))
               if args.small_budget else {}))
        self.set_tenants()
        self.store_copies = []  # the last ones, oldest first
        self.insert_proxies()
        self.sent = {}        # id to (route, adapter, gateway, time)
        self.answers = {}     # id to (status, body, complete)
        self.number = 0
        self.announced_versions = {}  # adapter to [(time, version)]
        self.drain_started = {}  # incarnation to time
        self.fault_times = {}  # area to the times of all its faults
        self.last_fault = {}  # process name, host, "store" or "links" to time
        self.served_routes = [set() for _ in self.deployment.gateways]
        self.streams = []  # of callers that resume them at any gateway
        self.mixed_answers = []  # ids of those with events of two versions
        for i, engine in enumerate(self.deployment.engines):
            engine.names_software = True
            engine.software = VERSIONS[i % len(VERSIONS)]
        self.violations = []
        self.crashes = 0
        self.faults = 0
        self.disrupted_processes = set()  # names; being stopped or paused
        self.stopping = False
        self.all_killed = []  # times at which no gateway was left running

    def insert_proxies(self):
        """Makes gateways reach engines and the store through proxies.

        Agents listen at the host of the proxy, as gateways derive the address
        of an agent from that of its engine.
        """
        d = self.deployment
        self.engine_proxies = []
        for i, engine in enumerate(d.engines):
            host = f"127.0.5.{i + 1}"
            proxy = Proxy(host, d.port, engine.host, engine.port)
            self.engine_proxies.append(proxy)
            record = engine.server_record
            engine.server_record = (lambda record=record, host=host: dict(
                record(), address=f"{host}:{d.port}"))
            settings = d.folder / f"agent{i}.yaml"
            settings.write_text(settings.read_text().replace(
                f'listen: "{engine.host}', f'listen: "{host}'))
        self.store_proxy = Proxy("127.0.6.1", d.port, d.store.host,
                                 d.store.port)
        for i in range(len(d.gateways)):
            self.write_settings(i, d.seeds)

    def write_settings(self, gateway, seeds):
        """Writes a gateway's settings, with the store's proxy."""
        d = self.deployment
        settings = pathlib.Path(d.write_gateway_settings(gateway, seeds))
        settings.write_text(settings.read_text().replace(
            f'store: "{d.store.host}', 'store: "127.0.6.1'))

    # Client accounts.

    def set_tenants(self):
        if self.accounts:
            self.deployment.tenants = [
                account("steady", [KEY]),
                account("changing", [self.newest_key]),
                account("limited", [QUOTA_KEY], ratePerS=QUOTA_PER_S,
                        burst=QUOTA_BURST)]

    def draw_key(self):
        """The key of a request: also those of former times."""
        drawn = self.account_random.random()
        if drawn < 0.5:
            return KEY
        if drawn < 0.75:
            return QUOTA_KEY
        return self.account_random.choice(
            [self.newest_key] * 3 + list(self.withdrawn_at)[-3:])

    def key_fields(self, request, key=KEY):
        if not self.accounts:
            return {}
        self.keys[request] = key
        return {"X-Key": key, "X-Tenant": "forged"}

    async def change_keys(self):
        """Withdraws a key and adds another one, from time to time."""
        while self.accounts and not self.stopping:
            await asyncio.sleep(self.account_random.expovariate(
                1 / KEY_CHANGE_S))
            withdrawn = self.newest_key
            self.newest_key = f"key-of-changing-{len(self.withdrawn_at) + 1}"
            self.set_tenants()
            self.deployment.publish_config()
            self.withdrawn_at[withdrawn] = time.monotonic()

    def check_accounts(self):
        """Checks that no request ran with a key that had been withdrawn, and
        that no window has more than the quota allows."""
        ran = run_times(self)
        for request, key in self.keys.items():
            sent_at = self.sent[request][3]
            if (request in ran and key in self.withdrawn_at
                    and sent_at > self.withdrawn_at[key] + REVOKE_S):
                self.report_violation(
                    f"{request}: ran with a key that was withdrawn "
                    f"{sent_at - self.withdrawn_at[key]:.2f} s before")
        times = sorted(ran[r] for r, key in self.keys.items()
                       if key == QUOTA_KEY and r in ran)
        worst = max((sum(t <= u < t + WINDOW_S for u in times)
                     for t in times), default=0)
        allowed = allowed_in_window(QUOTA_PER_S, QUOTA_BURST, QUOTA_SLACK)
        if self.accounts:
            print(f"accounts: {len(self.withdrawn_at)} keys withdrawn, "
                  f"{len(times)} requests with a quota ran, at most {worst} "
                  f"in {WINDOW_S:.0f} s, allowed {allowed:.0f}")
        if worst > allowed:
            self.report_violation(
                f"{worst} requests of an account in {WINDOW_S:.0f} s, "
                f"allowed {allowed:.0f}")
        for process in self.deployment.gateways + self.deployment.agents:
            if b"key-of" in pathlib.Path(process.log).read_bytes():
                self.report_violation(f"{process.name} has logged a key")

    def record_fault(self, area):
        self.faults += 1
        self.last_fault[area] = time.monotonic()
        self.fault_times.setdefault(area, []).append(self.last_fault[area])

    def undisturbed(self, *areas, since=None):
        """Whether the last fault of each area ended SETTLE_S before `since`.

        `since` is now by default.
        """
        at = since if since is not None else time.monotonic()
        return all(at - self.last_fault.get(a, -1e9) > SETTLE_S
                   for a in areas)

    def report_violation(self, text):
        self.violations.append(text)
        print(f"VIOLATED  {text}", flush=True)

    # Requests of callers.

    async def send_random_request(self):
        gateway = self.random.randrange(len(self.deployment.gateways))
        route = self.random.choice(["resumed", "resumed", "once-stream",
                                    "once", "again"])
        adapter, events = None, 0
        if "stream" in route or route == "resumed":
            adapter = f"a{int(self.random.paretovariate(0.9)) % ADAPTERS}"
            events = self.random.randint(3, 60)
        body, copies = b"x", 1
        if self.random.random() < CRASHING_SHARE and route != "again":
            body = crashing_body(route,
                                 self.random.randrange(CRASHING_CONTENTS))
            copies = self.random.randint(1, 3)
        await asyncio.gather(*[self.send_request(
            (gateway + i) % len(self.deployment.gateways), route, adapter,
            events, body) for i in range(copies)])

    async def send_request(self, gateway, route, adapter, events, body):
        self.number += 1
        number = self.number
        request = f"{number:016x}"
        self.sent[request] = (route, adapter, gateway, time.monotonic())
        headers = request_headers(number, adapter, events=events,
                                  deadline_ms=4000 if adapter else 1500)
        headers.update(self.key_fields(request, self.draw_key()))
        try:
            status, _, body, complete = await call(
                f"127.0.3.{gateway + 1}", self.deployment.port,
                "GET" if route == "again" else "POST", f"/{route}/1", headers,
                b"" if route == "again" else body, timeout_s=8)
        except (OSError, asyncio.TimeoutError):
            return
        self.answers[request] = (status, body, complete)
        if adapter and 200 <= status < 300:
            self.check_stream(request, adapter, events, body, complete)

    def check_stream(self, request, adapter, events, body, complete):
        expected = expected_events(adapter, events)
        software = re.findall(rb" (v[0-9.]+)\n\n", body)
        if len(set(software)) > 1:
            self.mixed_answers.append(request)
        body = re.sub(rb" v[0-9.]+\n\n", b"\n\n", body)
        if not expected.startswith(body):
            self.report_violation(f"{request}: got events of another stream")
        elif complete != (body == expected):
            self.report_violation(f"{request}: complete is {complete} with "
                                  f"{len(body)} of {len(expected)} bytes")

    def next_id(self):
        self.number += 1
        return self.number

    def record_sent(self, number, route, adapter, gateway):
        self.sent[f"{number:016x}"] = (route, adapter, GATEWAYS.index(gateway),
                                       time.monotonic())

    async def run_resuming_callers(self):
        gateways = GATEWAYS[:len(self.deployment.gateways)]
        while not self.stopping:
            self.streams.append(Stream(
                self, self.random.sample(gateways, len(gateways)),
                f"a{self.random.randrange(ADAPTERS)}",
                self.random.choice((8, 60, 200)), deadline_s=8).start())
            await asyncio.sleep(
                self.random.expovariate(RESUMED_STREAMS_PER_S))
        await asyncio.gather(*(s.job for s in self.streams))

    def check_software(self):
        mixed = [s for s in self.streams if s.mixed()]
        if len(mixed) + len(self.mixed_answers) > MIXED_STREAMS_MAX:
            self.report_violation(
                f"streams of two versions: {self.mixed_answers}, "
                f"{[s.resumes for s in mixed]}")
        for stream in self.streams:
            if stream.out_of_order:
                self.report_violation(
                    f"{stream.resumes}: events are out of order")

    async def run_callers(self):
        jobs = set()
        while not self.stopping:
            job = asyncio.ensure_future(self.send_random_request())
            jobs.add(job)
            job.add_done_callback(jobs.discard)
            await asyncio.sleep(self.random.expovariate(REQUESTS_PER_S))
        await asyncio.gather(*jobs)

    async def monitor_routes(self):
        """Checks that gateway processes keep every route they have served."""
        while not self.stopping:
            for i, process in enumerate(self.deployment.gateways):
                for route in list(self.deployment.extra_routes)[-3:]:
                    await self.probe_route(i, process, route)
            await asyncio.sleep(0.5)

    async def probe_route(self, i, process, route):
        pid = process.process.pid
        self.number += 1
        request = f"{self.number:016x}"
        self.sent[request] = ("probe", None, i, time.monotonic())
        try:
            status, _, _, _ = await call(
                f"127.0.3.{i + 1}", self.deployment.port, "GET",
                f"/{route}/1", dict({"X-Request-Id": request,
                                     "X-Deadline-Ms": "800"},
                                    **self.key_fields(request)), timeout_s=3)
        except (OSError, asyncio.TimeoutError):
            return
        if status == 404 and (pid, route) in self.served_routes[i]:
            self.report_violation(
                f"gateway {i} no longer serves route {route}")
        if status == 200:
            self.served_routes[i].add((pid, route))

    # Faults. Each ends by itself; faults of different kinds overlap.

    async def disrupt_one(self, processes, fault):
        """Runs the fault on a random process, if the process has none yet.

        Two overlapping faults would start the process twice.
        """
        process = self.random.choice(processes)
        if process.name in self.disrupted_processes:
            return
        self.disrupted_processes.add(process.name)
        try:
            await fault(process)
        finally:
            self.disrupted_processes.discard(process.name)

    async def kill(self):
        await self.disrupt_one(self.deployment.gateways
                               + self.deployment.agents,
                               self.kill_and_restart)

    async def pause(self):
        await self.disrupt_one(self.deployment.gateways
                               + self.deployment.agents,
                               self.suspend_and_resume)

    async def planned_stop(self):
        await self.disrupt_one(self.deployment.gateways, self.stop_and_restart)

    async def kill_and_restart(self, process):
        self.record_fault(process.name)
        await process.kill()
        await asyncio.sleep(self.random.uniform(0.1, 1.5))
        await process.start()
        self.record_fault(process.name)

    async def suspend_and_resume(self, process):
        self.record_fault(process.name)
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.3, 3))
        process.signal(signal.SIGCONT)
        self.record_fault(process.name)

    async def stop_and_restart(self, process):
        self.record_fault(process.name)
        # The settings are reloaded right before the stop, at any moment from
        # the beginning of main() on.
        await process.reach_main()
        process.signal(signal.SIGHUP)
        process.signal(signal.SIGTERM)
        try:
            code = await process.wait(10)
            if code != 0:
                self.report_violation(
                    f"{process.name} exited with code {code}")
        except asyncio.TimeoutError:
            if self.undisturbed(process.name, since=time.monotonic() + 0.1):
                self.report_violation(
                    f"{process.name} did not exit within 10 s")
            await process.kill()
        await process.start()
        self.record_fault(process.name)

    async def disrupt_links(self):
        proxy = self.random.choice(self.engine_proxies + [self.store_proxy])
        area = "store" if proxy is self.store_proxy else "links"
        self.record_fault(area)
        kind = self.random.choice(["delay", "reset", "block one way", "block",
                                   "refuse"])
        if kind == "delay":
            proxy.delay_s = self.random.uniform(0.02, 0.3)
        elif kind == "reset":
            proxy.reset_connections()
        elif kind == "block one way":
            proxy.blocked_directions.add(self.random.choice(["in", "out"]))
        elif kind == "block":
            proxy.blocked_directions |= {"in", "out"}
        else:
            proxy.refusing_connections = True
            proxy.reset_connections()
        await asyncio.sleep(self.random.uniform(0.5, 4))
        proxy.clear_faults()
        self.record_fault(area)

    async def disrupt_engine(self):
        engine = self.random.choice(self.deployment.engines)
        kind = self.random.choice(["crash", "drain", "delay orders", "cut"])
        self.record_fault(engine.host)
        if kind == "delay orders":
            engine.delayed_order_rate = 0.4
            await asyncio.sleep(3)
            engine.delayed_order_rate = 0.0
            return
        if kind == "cut":
            engine.cut_after_events = 4
            await asyncio.sleep(2)
            engine.cut_after_events = 0
            return
        if not engine.up:
            return
        if kind == "drain":
            engine.draining = True
            engine.store.put("servers", engine.id, engine.server_record())
            self.drain_started[engine.id] = time.monotonic()
            await asyncio.sleep(4)
        if engine.up:
            await engine.crash()
            if self.random.random() < 0.7:
                engine.deregister()
            await asyncio.sleep(self.random.uniform(0.2, 2))
            if not engine.up:
                engine.keeps_id = self.random.random() < 0.2
                engine.software = self.random.choice(VERSIONS)
                await engine.start(model=False)
                engine.keeps_id = False

    async def name_rate_limit(self):
        """A target names a rate limit, another one in each second."""
        target = self.random.choice(self.deployment.plains
                                    + self.deployment.engines)
        for _ in range(self.random.randint(5, 9)):
            target.server_limit = round(self.random.uniform(0.2, 4), 1)
            await asyncio.sleep(1)
        target.server_limit = None
        target.limits_ended.append(time.monotonic())

    async def leave(self):
        """A target says in its responses that it leaves, whatever it reports
        to the store, and a new incarnation follows it."""
        target = self.random.choice(self.deployment.plains
                                    + self.deployment.engines)
        incarnation = target.id
        target.leaving_statuses = None
        await asyncio.sleep(self.random.uniform(2, 5))
        if target.up and target.id == incarnation:
            self.record_fault(target.host)
            await target.crash()
            if self.random.random() < 0.7:
                target.deregister()
        target.leaving_statuses = ()
        await asyncio.sleep(self.random.uniform(0.2, 1))
        if not target.up:
            await target.start()

    async def turn_away(self):
        """A target asks for pauses."""
        target = self.random.choice(self.deployment.plains
                                    + self.deployment.engines)
        target.says_not_run = self.random.random() < 0.7
        for _ in range(self.random.randint(1, 3)):
            target.ask_for_pause(self.random.uniform(0.1, 3))
            await asyncio.sleep(self.random.uniform(0.1, 4))
        target.busy_until = 0.0

    async def disrupt_plain_target(self):
        target = self.random.choice(self.deployment.plains)
        target.lost_response_rate, target.failure_rate = 0.3, 0.3
        await asyncio.sleep(2)
        target.lost_response_rate = target.failure_rate = 0.0

    async def disrupt_store(self):
        store = self.deployment.store
        self.record_fault("store")
        kind = self.random.choice(["hang", "error", "compact"])
        if kind == "compact":
            store.compact_history()
            return
        store.unresponsive, store.error_status = (
            kind == "hang", 503 * (kind == "error"))
        await asyncio.sleep(self.random.uniform(0.5, 4))
        store.unresponsive, store.error_status = False, 0
        self.record_fault("store")

    async def restore_store(self):
        """The store is away, comes back from an older copy, and what the
        operator and the engines wrote is written again, in any order."""
        d = self.deployment
        store = d.store
        self.record_fault("store")
        store.unresponsive = True
        await asyncio.sleep(self.random.uniform(0.1, 1))
        store.restore(self.random.choice(self.store_copies),
                      cut_watches=self.random.random() < 0.5)
        store.unresponsive = False
        writes = [("config", "main", d.config)]
        for adapter, versions in self.announced_versions.items():
            writes.append(("versions", f"m.{adapter}", {
                "model": "m", "adapter": adapter,
                "version": versions[-1][1]}))
        self.random.shuffle(writes)
        for kind, name, spec in writes:
            await asyncio.sleep(self.random.uniform(0, 0.05))
            # A newer one may have been written meanwhile.
            now = store.objects_by_kind.get(kind, {}).get(name)
            if now is None or now["spec"]["version"] < spec["version"]:
                store.put(kind, name, spec)
        # Entries of incarnations that have ended get no heartbeat.
        await asyncio.sleep(0.7)
        live = {t.id for t in d.engines + d.plains if t.up}
        for name in set(store.objects_by_kind.get("servers", {})) - live:
            store.delete("servers", name)
        self.record_fault("store")

    async def copy_store(self):
        while not self.stopping:
            self.store_copies.append(self.deployment.store.copy())
            del self.store_copies[:-COPIES]
            await asyncio.sleep(COPY_INTERVAL_S)

    async def change_configuration(self):
        if self.random.random() < 0.5:
            self.deployment.extra_routes.append(
                f"extra{len(self.deployment.extra_routes)}")
            self.deployment.publish_config()
            return
        adapter = f"a{self.random.randrange(ADAPTERS)}"
        versions = self.announced_versions.setdefault(adapter, [])
        version = 2 + len(versions)
        self.deployment.store.put("versions", f"m.{adapter}", {
            "model": "m", "adapter": adapter, "version": version})
        versions.append((time.monotonic(), version))

    async def inject_faults(self):
        # A fault that is listed twice is drawn twice as often.
        kinds = [self.kill, self.pause, self.planned_stop, self.disrupt_links,
                 self.disrupt_links, self.disrupt_engine,
                 self.disrupt_plain_target, self.disrupt_store,
                 self.name_rate_limit, self.name_rate_limit,
                 self.leave, self.turn_away,
                 self.restore_store, self.restore_store,
                 self.change_configuration, self.change_configuration]
        running_faults = {}
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            kind = self.random.choice(kinds)
            # Only one fault of each kind at a time.
            if kind not in running_faults or running_faults[kind].done():
                running_faults[kind] = asyncio.ensure_future(kind())
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
        await asyncio.gather(*running_faults.values())

    async def kill_gateways(self, down_s):
        """Kills all gateways at once that have no other fault, and starts
        them again."""
        free = [gateway for gateway in self.deployment.gateways
                if gateway.name not in self.disrupted_processes]
        self.disrupted_processes.update(g.name for g in free)
        if all(gateway in free or gateway.process.returncode is not None
               for gateway in self.deployment.gateways):
            self.all_killed.append(time.monotonic())
        for gateway in free:
            self.record_fault(gateway.name)
            await gateway.kill()
        await asyncio.sleep(down_s)
        for gateway in free:
            await gateway.start()
            self.record_fault(gateway.name)
            self.disrupted_processes.discard(gateway.name)

    async def refuse_often(self):
        """With --small-budget, all targets refuse most requests for seconds,
        and all gateways are killed at times meanwhile."""
        targets = self.deployment.engines + self.deployment.plains
        draw = random.Random(f"refusals {self.seed}")
        while self.small_budget and not self.stopping:
            await asyncio.sleep(draw.uniform(1, 4))
            for target in targets:
                target.rejection_rate = 0.9
            await asyncio.sleep(draw.uniform(1, 3))
            if draw.random() < 0.4:
                await self.kill_gateways(draw.uniform(0, 1.5))
            await asyncio.sleep(draw.uniform(0, 2))
            for target in targets:
                target.rejection_rate = 0.0

    async def differ_in_seeds(self):
        """With --other-seeds, gateways get other seeds, with a signal, without
        one, or while they are away."""
        draw = random.Random(f"seeds {self.seed}")
        gateways = self.deployment.gateways
        while self.other_seeds and not self.stopping:
            await asyncio.sleep(draw.uniform(1, 4))
            i = draw.randrange(len(gateways))
            process = gateways[i]
            seeds = draw.sample(range(len(gateways)),
                                draw.randint(1, len(gateways)))
            how, away_s = draw.random(), draw.uniform(0.1, 6)
            if process.name in self.disrupted_processes:
                continue
            self.write_settings(i, seeds)
            if how < 0.3:
                process.signal(signal.SIGHUP)
            elif how > 0.6:
                self.disrupted_processes.add(process.name)
                self.record_fault(process.name)
                await process.kill()
                await asyncio.sleep(away_s)
                await process.start()
                self.record_fault(process.name)
                self.disrupted_processes.discard(process.name)

    # Checks after the last request.

    def check_runs(self):
        runs = {}
        for run in self.deployment.runs():
            runs.setdefault(run[0], []).append(run)
        for request, request_runs in runs.items():
            if request not in self.sent:
                self.report_violation(f"{request}: ran, but no caller sent it")
                continue
            self.check_request(request, request_runs)
        for request, answer in self.answers.items():
            if answer[0] in (503, 429, 408, 421) and request in runs:
                if self.sent[request][0] in ("once", "once-stream"):
                    self.report_violation(
                        f"{request}: answered {answer[0]}, but it ran")
        for body in CRASHING_BODIES:
            self.check_crashes(body)
        self.check_notices()
        for text in broken_limits(
                self.deployment.engines + self.deployment.plains,
                {request: sent[2] for request, sent in self.sent.items()},
                lambda target, gateway, when: self.undisturbed(
                    f"gateway{gateway}", "links", since=when)):
            self.report_violation(text)
        self.check_retries()
        if any(e.slots_exceeded for e in self.deployment.engines):
            self.report_violation("an engine got more loads than it has slots")

    def check_retries(self):
        """Checks the budget of repeated arrivals over all gateways, which no
        fault excuses."""
        if not self.small_budget:
            return
        sent_at = {request: sent[3] for request, sent in self.sent.items()}
        for targets, adapters in ((self.deployment.engines, True),
                                  (self.deployment.plains, False)):
            text, excess, _ = worst_window(
                targets, {request: when for request, when in sent_at.items()
                          if (self.sent[request][1] is not None) == adapters},
                BUDGET_RESERVE, BUDGET_WINDOW_S)
            print(f"{targets[0].service}: {text}", flush=True)
            if excess > 0:
                self.report_violation(f"{targets[0].service}: {text}")

    def check_notices(self):
        """Checks that targets which said that they leave, or asked for a
        pause, got no requests from gateways without a fault since."""
        sent = Sent({request: s[2] for request, s in self.sent.items()},
                    {request: s[3] for request, s in self.sent.items()})

        def counts(target, gateway, told, when):
            areas = [f"gateway{gateway}"]
            if target in self.deployment.engines:
                areas.append("links")
            return not any(told - FAULT_MAX_S < fault < when for area in areas
                           for fault in self.fault_times.get(area, ()))
        targets = self.deployment.engines + self.deployment.plains
        bound_s = self.deployment.drain_ms / 1000
        for text in (late_requests(targets, sent, bound_s, counts)
                     + broken_pauses(targets, sent, counts)):
            self.report_violation(text)

    def check_crashes(self, body):
        """Checks that a crashing content is not sent on after its third crash
        by gateways without a fault."""
        d = self.deployment
        crashes = sorted((when, request) for t in d.engines + d.plains
                         for request, crashed, when in t.crashes
                         if crashed == body)
        self.crashes += len(crashes)
        if len(crashes) < CRASHES:
            return
        late = [request for t in d.engines + d.plains
                for request, crashing, when in t.crashing_runs
                if crashing == body
                and when > crashes[CRASHES - 1][0] + CONTACT_S
                and self.undisturbed(f"gateway{self.sent[request][2]}",
                                     "store", since=when)]
        if len(late) > LATE_SENDS_MAX:
            text = f"{body.decode()}: {len(crashes)} crashes, sent late: {late}"
            if any(killed > crashes[CRASHES - 1][0]
                   for killed in self.all_killed):
                # All gateways were killed since: KNOWN-RED.txt, 76.
                print(f"KNOWN RED  {text}", flush=True)
            else:
                self.report_violation(text)

    def check_request(self, request, request_runs):
        route, adapter, gateway, _ = self.sent[request]
        if route in ("once", "once-stream") and len(request_runs) > 1:
            self.report_violation(
                f"{request} on {route}: ran {len(request_runs)} times")
        for _, _, run_adapter, version, incarnation, when in request_runs:
            if run_adapter != adapter:
                self.report_violation(f"{request}: ran on {run_adapter}")
            limits_apply = self.check_time_limits and self.undisturbed(
                "store", f"gateway{gateway}", since=when)
            for announced, number in self.announced_versions.get(adapter, []):
                if (limits_apply and when > announced + VERSION_BOUND_S
                        and version < number):
                    self.report_violation(
                        f"{request}: ran version {version}, "
                        f"{number} was announced")
            drained_at = self.drain_started.get(incarnation)
            if (limits_apply and drained_at is not None
                    and when > drained_at + DRAIN_BOUND_S + 0.5):
                self.report_violation(
                    f"{request}: ran on {incarnation}, draining for "
                    f"{when - drained_at:.1f} s")

    async def check_recovery(self):
        """Checks that every gateway serves again after the last fault."""
        # With --untimed (a busy machine) it may take six times as long.
        end = time.monotonic() + RECOVERY_TIMEOUT_S * (
            1 if self.check_time_limits else 6)
        not_serving = set(range(len(self.deployment.gateways)))
        while not_serving and time.monotonic() < end:
            for i in list(not_serving):
                self.number += 1
                request = f"{self.number:016x}"
                self.sent[request] = ("resumed", "a1", i, time.monotonic())
                try:
                    status, _, body, _ = await call(
                        f"127.0.3.{i + 1}", self.deployment.port, "POST",
                        "/resumed/1", dict(request_headers(
                            self.number, "a1", events=3),
                            **self.key_fields(request)), b"x", timeout_s=5)
                except (OSError, asyncio.TimeoutError):
                    continue
                body = re.sub(rb" v[0-9.]+\n\n", b"\n\n", body)
                if status == 200 and body == expected_events("a1", 3):
                    not_serving.discard(i)
            await asyncio.sleep(0.3)
        for i in not_serving:
            self.report_violation(
                f"gateway {i} does not serve {RECOVERY_TIMEOUT_S:.0f} s "
                "after the last fault")

    async def run(self):
        d = self.deployment
        for proxy in self.engine_proxies + [self.store_proxy]:
            await proxy.open()
        await d.up()
        try:
            for target in d.engines + d.plains:
                target.crashing_bodies |= set(CRASHING_BODIES)
                target.crash_delay_s = self.random.choice([0.0, 0.05, 0.3])
            jobs = [asyncio.ensure_future(self.copy_store()),
                    asyncio.ensure_future(self.change_keys()),
                    asyncio.ensure_future(self.refuse_often()),
                    asyncio.ensure_future(self.differ_in_seeds()),
                    asyncio.ensure_future(self.run_callers()),
                    asyncio.ensure_future(self.run_resuming_callers()),
                    asyncio.ensure_future(self.monitor_routes())]
            await self.inject_faults()
            self.stopping = True
            await asyncio.gather(*jobs)
            await self.check_recovery()
            self.check_runs()
            self.check_software()
            self.check_accounts()
        finally:
            await d.down()
            for proxy in self.engine_proxies + [self.store_proxy]:
                await proxy.close()
        for path in d.sanitizer_reports():
            self.report_violation(f"sanitizer report in {path}")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default=str(ROOT / "build" / "test"))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--port", type=int, default=int(
        os.environ.get("CM_TEST_PORT", 23000)) + 2000)
    parser.add_argument("--engines", type=int, default=4)
    parser.add_argument("--plains", type=int, default=3)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--untimed", action="store_true",
                        help="skip the time limits, for a busy machine")
    parser.add_argument("--accounts", action="store_true",
                        help="callers have keys, which are withdrawn, and "
                             "quotas")
    parser.add_argument("--other-seeds", action="store_true",
                        help="the seeds in the settings of gateways differ")
    parser.add_argument("--small-budget", action="store_true",
                        help="a retry budget that the faults exhaust, checked "
                             "over all gateways")
    args = parser.parse_args()
    soak = Soak(args)
    asyncio.run(soak.run())
    succeeded = sum(a[0] == 200 for a in soak.answers.values())
    print(f"seed {args.seed}: {soak.faults} faults, {len(soak.sent)} requests,"
          f" {len(soak.answers)} answered, {succeeded} with status "
          f"200, {soak.crashes} crashes by contents, "
          f"{len(soak.streams)} streams of resuming callers, "
          f"{sum(s.mixed() for s in soak.streams)} of two versions, "
          f"{len(soak.violations)} violations; logs in "
          f"{soak.deployment.folder}")
    print(f"{0 if soak.violations else 1} passed, "
          f"{1 if soak.violations else 0} failed")
    return 1 if soak.violations else 0


if __name__ == "__main__":
    sys.exit(main())
