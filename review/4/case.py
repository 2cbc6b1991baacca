"""Two machines are replaced for good; engines name limits afterwards."""
import asyncio
import os
import pathlib
import random
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common"))

import harness  # noqa: E402
from limits import broken_limits  # noqa: E402

GATEWAYS, ENGINES, PLAINS = 4, 6, 4
REPLACED = (0, 1)       # of the machines 0 to 3, by 4 and 5
LIMIT_PER_S = 3.0
PLAY_S = 30
# The sheet's rates of the two plain kinds of request, and a part of that of
# streams (91.8).
LEDGER_PER_S, LOOKUP_PER_S, STREAMS_PER_S = 22.9, 9.2, 50.0
# Time until the new machines are in touch and the clients use them.
SETTLE_S = 6


async def ask(fleet, kind, gateways, gateway_of):
    """A client, which retries once after a promise that its request has not
    run, as it was told."""
    for _ in range(2):
        gateway = random.choice(gateways)
        number = fleet.number + 1
        gateway_of[f"{number:016x}"] = gateway
        if kind == "report":
            _, (status, headers, _, _) = await fleet.send(
                gateway, "POST", "/report/1",
                {"X-Model": "m", "X-Token-Usage": "1110,6",
                 "X-Prompt-Prefix": "a1:350,b%x:760" % number}, b"prompt",
                4000)
        else:
            _, (status, headers, _, _) = await fleet.send(
                gateway, "POST" if kind == "book" else "GET", f"/{kind}/1",
                body=b"x" if kind == "book" else b"")
        if status not in (429, 503) or "retry-after" not in headers:
            return
        await asyncio.sleep(min(float(headers["retry-after"]), 0.4))


async def replace(fleet):
    """Machines are removed for good, and new ones come at other addresses.
    The settings of all name the seeds that there are now."""
    fleet.seeds = [fleet.control(4), fleet.control(5), fleet.control(2)]
    for i, gone in enumerate(REPLACED):
        await fleet.gateways[gone].kill()
        await asyncio.sleep(1.0)
        fleet.gateways.append(fleet.make_gateway(4 + i))
        await fleet.gateways[-1].start()
        await fleet.wait_ready(4 + i)
    # The settings file may change without a signal; then there is one.
    for i in (2, 3):
        process = fleet.gateways[i]
        process.fields["seeds"] = fleet.seeds
        process.write_settings()
        process.signal(signal.SIGHUP)


async def play(fleet):
    gateways = list(range(GATEWAYS))
    if harness.TROUBLE:
        await replace(fleet)
        gateways = [2, 3, 4, 5]
    jobs, gateway_of = [], {}
    end = time.monotonic() + SETTLE_S + PLAY_S

    async def keep_asking(kind, per_s):
        while time.monotonic() < end:
            jobs.append(asyncio.ensure_future(
                ask(fleet, kind, gateways, gateway_of)))
            await asyncio.sleep(random.expovariate(per_s))

    async def name_limits():
        await asyncio.sleep(SETTLE_S)
        for target in fleet.plains + fleet.engines:
            target.server_limit = LIMIT_PER_S
        fleet.record.write(f"all engines name a limit of {LIMIT_PER_S}")
    await asyncio.gather(keep_asking("book", LEDGER_PER_S),
                         keep_asking("status", LOOKUP_PER_S),
                         keep_asking("report", STREAMS_PER_S), name_limits())
    await asyncio.gather(*jobs)
    targets = fleet.plains + fleet.engines
    for target in targets:
        for request, _, when in target.arrivals:
            fleet.record.write(f"{request} reached {target.host} at "
                               f"{when - fleet.record.start:.3f}")
    broken = broken_limits(targets, gateway_of)
    for text in broken:
        fleet.record.result(text)
    fleet.record.result(f"LIMIT broken at {len(broken)} of "
                        f"{len(targets)} engines")
    return harness.BROKEN if broken else harness.HELD


harness.main(HERE, play, site="triangel-koordinate", gateways=GATEWAYS,
             engines=ENGINES, plains=PLAINS)
