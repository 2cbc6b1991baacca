"""CONFIG: one answer of the store, which brings a new configuration to one
gateway, is lost.

With TROUBLE=0 the answer arrives.
"""
import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from fleet import TROUBLE, call, run  # noqa: E402

# Bounds of the sheet: contactMs, configMs, maxStretchMs.
CONTACT_S, CONFIG_S, STRETCH_S = 3.0, 2.0, 5.0
CALLS_S, INTERVAL_S = 20.0, 0.1
OLD, NEW = "app", "app2"


class LossyStore:
    """Loses the answer to the next watch of the configuration that tells of a
    change. The connection returns nothing further, as the pages say."""

    def __init__(self, store, record):
        self.answer, store.handle = store.handle, self.handle
        self.record, self.armed = record, False

    async def handle(self, method, target, headers, body, writer):
        response = await self.answer(method, target, headers, body, writer)
        if (self.armed and "/objects/config?watch" in target
                and b'"deleted"' in response.body):
            self.armed = False
            self.record.say(f"the answer to GET {target} is lost")
            await asyncio.Event().wait()
        return response


async def case(fleet, record):
    for plain in fleet.plains[2:]:
        plain.service = NEW
    fleet.route("book", "unsafe", OLD, 1000, 1)
    store = LossyStore(fleet.store, record)
    await fleet.up()
    await asyncio.sleep(CONTACT_S)
    store.armed = TROUBLE
    fleet.routes[0]["service"] = NEW
    fleet.publish()
    acknowledged = time.monotonic()
    record.say(f"version {fleet.version}, which moves the route from {OLD} to "
               f"{NEW}, is acknowledged")
    sent = {}  # id to seconds since then, and gateway
    while time.monotonic() < acknowledged + CALLS_S:
        for gateway in fleet.gateways:
            request = f"{len(sent):016x}"
            sent[request] = time.monotonic() - acknowledged, gateway.name
            status, _, _, _ = await call(
                gateway.host, fleet.port, "POST", "/book/1",
                {"X-Request-Id": request, "X-Deadline-Ms": "1000"}, b"x")
            record.write(f"{request} sent to {gateway.name} "
                         f"{sent[request][0]:.3f} s after it: {status}")
        await asyncio.sleep(INTERVAL_S)
    late = []
    for plain in fleet.plains:
        for request, _, _, _, _, at in plain.runs:
            record.write(f"run of {request} by service {plain.service}, at "
                         f"{at - record.began:.3f}")
            if (plain.service == OLD
                    and sent[request][0] > CONFIG_S + STRETCH_S):
                late.append(sent[request])
    late.sort()
    record.say(f"{len(sent)} requests, {len(late)} sent over "
               f"{CONFIG_S + STRETCH_S} s after the acknowledgement were run "
               f"by the old service"
               + (f", from {late[0]} to {late[-1]}" if late else ""))
    return not late


run(HERE, case, gateways=3, engines=2, plains=4)
