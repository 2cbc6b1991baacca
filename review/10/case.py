"""LIMIT: an order that got no answer is carried out after the side machine, with
its engine and its agent, has lost power and come back.

With TROUBLE=0 the order is answered and the machine keeps its power.
"""
import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from clients import Stream  # noqa: E402
from fleet import TROUBLE, run  # noqa: E402

SLOTS = 6
POPULAR = [f"a{i}" for i in range(SLOTS)]
RARE = "a9"
# The order is carried out so much later; its sender loses power meanwhile.
LATE_S, POWER_LOSS_S, DOWN_S = 11.0, 1.5, 1.0
CALLS_S, STREAM_EVENTS, EVENT_INTERVAL_S = 15.0, 40, 0.05


class LateOrder:
    """Leaves one order to load RARE unanswered and carries it out later. An
    engine that is ordered to load more than it has slots for crashes."""

    def __init__(self, fleet, record, engine):
        self.fleet, self.record, self.engine = fleet, record, engine
        self.execute, engine.execute_order = (engine.execute_order,
                                              self.execute_order)
        self.answer, engine.handle = engine.handle, self.handle
        self.left_out = None
        self.over_limit = False

    async def handle(self, method, target, headers, body, writer):
        if (TROUBLE and target == "/order" and self.left_out is None
                and RARE.encode() in body):
            self.left_out = time.monotonic()
            self.record.say(f"order {body.decode()} gets no answer")
            asyncio.get_running_loop().call_later(
                LATE_S, self.carry_out, method, target, headers, body, writer)
            await asyncio.Event().wait()
        return await self.answer(method, target, headers, body, writer)

    def carry_out(self, *request):
        asyncio.ensure_future(self.carry_out_now(*request))

    async def carry_out_now(self, *request):
        answer = await self.answer(*request)
        self.record.say("the order that got no answer is carried out: "
                        f"{answer.status}")

    def execute_order(self, order):
        answer = self.execute(order)
        engine = self.engine
        self.record.write(f"{engine.id} gets {order}: {answer.status}, "
                          f"{engine.order_count} orders accepted, holds "
                          f"{list(engine.adapters)}, loads "
                          f"{list(engine.loading_adapters)}")
        if engine.slots_exceeded and not self.over_limit:
            self.over_limit = True
            self.record.say(
                f"{engine.id} is ordered to load "
                f"{len(engine.adapters) + len(engine.loading_adapters)} "
                f"adapters, has {SLOTS} slots and crashes; "
                f"{engine.active_runs} runs are in progress")
            asyncio.ensure_future(engine.crash())
        return answer


async def lose_power(fleet, record, engine, agent):
    record.say("the side machine loses power")
    agent.signal(signal.SIGKILL)
    await engine.crash()
    await agent.process.wait()
    await asyncio.sleep(DOWN_S)
    engine.keeps_id = True
    await engine.start(model=False)
    await agent.start()
    record.say(f"it is back; {engine.id} is empty")


async def case(fleet, record):
    engine, agent = fleet.engines[0], fleet.agents[0]
    engine.event_interval_s = EVENT_INTERVAL_S
    engine.model_load_s = 1.3
    orders = LateOrder(fleet, record, engine)
    fleet.route("alarm", "streaming", "llm", 12000, 1, resumable=False,
                targetGapMs=300, sticky=True)
    await fleet.up()
    await asyncio.sleep(1)
    streams = []

    def start(adapter):
        streams.append(Stream(fleet, record, "alarm", len(streams), adapter,
                              events=STREAM_EVENTS, tries=1).start())
        return streams[-1]

    for adapter in POPULAR:
        while adapter not in engine.adapters:
            await start(adapter).job
    record.say(f"{engine.id} holds {list(engine.adapters)}, "
               f"{engine.order_count} orders accepted")
    rare = start(RARE)
    if TROUBLE:
        while orders.left_out is None:
            await asyncio.sleep(0.01)
        await asyncio.sleep(POWER_LOSS_S)
        await lose_power(fleet, record, engine, agent)
    await rare.job
    began = len(streams)
    end = time.monotonic() + CALLS_S
    while time.monotonic() < end and not orders.over_limit:
        for adapter in POPULAR:
            start(adapter)
        await asyncio.sleep(1.0)
    await asyncio.gather(*(s.job for s in streams))
    cut = [s for s in streams[began:] if not s.complete() and s.last_event]
    for s in streams:
        record.write(f"stream {s.number} of {s.adapter}: {s.last_event} of "
                     f"{s.events} events, {s.attempts}")
    record.say(f"{len(streams) - began} streams since then, "
               f"{sum(s.complete() for s in streams[began:])} complete, "
               f"{len(cut)} broken off after they had begun")
    return not orders.over_limit


run(HERE, case, gateways=3, engines=1, slots=SLOTS)
