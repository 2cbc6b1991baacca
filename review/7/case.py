"""BUDGET: a request that crashes each target is refused everywhere, until all
gateways are killed at the same moment.

With TROUBLE=0 no gateway is killed.
"""
import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from fleet import CONTACT_S, TROUBLE, call, run  # noqa: E402

CRASHES, LATE_MAX = 3, 3
BODY = b"deadly"
FIRST_SENDS, INTERVAL_S = 6, 1.0
LAST_ROUNDS, ROUND_INTERVAL_S = 3, 3.0
BACK_S, DOWN_S = 2.5, 0.5
SOUND_INTERVAL_S = 0.1


class Callers:
    def __init__(self, fleet, record):
        self.fleet, self.record = fleet, record
        self.number, self.sound, self.stopped = 0, [], False

    async def send(self, gateway, body):
        self.number += 1
        request = f"{self.number:016x}"
        try:
            status, _, _, _ = await call(
                gateway.host, self.fleet.port, "POST", "/book/1",
                {"X-Request-Id": request, "X-Deadline-Ms": "1000"}, body,
                timeout_s=3)
        except (OSError, asyncio.TimeoutError) as error:
            status = type(error).__name__
        self.record.write(f"{request}, {body.decode()}, sent to "
                          f"{gateway.name}: {status}")
        return status

    async def run_sound(self):
        while not self.stopped:
            gateway = self.fleet.gateways[self.number %
                                          len(self.fleet.gateways)]
            self.sound.append(asyncio.ensure_future(
                self.send(gateway, b"sound %d" % self.number)))
            await asyncio.sleep(SOUND_INTERVAL_S)

    async def send_at_all(self):
        """Copies of the deadly request come at all machines at once."""
        return await asyncio.gather(*(self.send(g, BODY)
                                      for g in self.fleet.gateways))


async def kill_gateways(fleet, record):
    record.say(f"{len(fleet.gateways)} gateways are killed at the same moment")
    for gateway in fleet.gateways:
        gateway.signal(signal.SIGKILL)
    for gateway in fleet.gateways:
        await gateway.process.wait()
    await asyncio.sleep(DOWN_S)
    for gateway in fleet.gateways:
        await gateway.start()
    for gateway in fleet.gateways:
        await fleet.until_ready(gateway)


async def case(fleet, record):
    for plain in fleet.plains:
        plain.restart_delay_s = BACK_S
        plain.crashing_bodies.add(BODY)
    fleet.route("book", "unsafe", "app", 1000, 1)
    await fleet.up()
    await asyncio.sleep(CONTACT_S)
    callers = Callers(fleet, record)
    sound = asyncio.ensure_future(callers.run_sound())
    for i in range(FIRST_SENDS):
        await callers.send(fleet.gateways[i % len(fleet.gateways)], BODY)
        await asyncio.sleep(INTERVAL_S)
    await asyncio.sleep(CONTACT_S)
    record.say(f"answers to the deadly request: {await callers.send_at_all()}")
    if TROUBLE:
        await kill_gateways(fleet, record)
    await asyncio.sleep(CONTACT_S + 0.5)
    for _ in range(LAST_ROUNDS):
        record.say("machines are in touch; answers to the deadly request: "
                   f"{await callers.send_at_all()}")
        await asyncio.sleep(ROUND_INTERVAL_S)
    callers.stopped = True
    await sound
    await asyncio.gather(*callers.sound)
    crashes = sorted(at for plain in fleet.plains
                     for _, _, at in plain.crashes)
    runs = sorted((at, request) for plain in fleet.plains
                  for request, _, at in plain.crashing_runs)
    for at, request in runs:
        record.write(f"{request} reached a target and crashes it, at "
                     f"{at - record.began:.3f}")
    late = [at for at, _ in runs
            if len(crashes) >= CRASHES
            and at > crashes[CRASHES - 1] + CONTACT_S]
    record.say(f"{len(crashes)} crashes; the request reached targets "
               f"{len(late)} times later than {CONTACT_S:.0f} s after the "
               f"third, allowed {LATE_MAX}")
    return len(late) <= LATE_MAX


run(HERE, case, gateways=5, engines=2, plains=8)
