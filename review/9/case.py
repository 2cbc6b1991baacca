"""LOST: all processes are killed at the same moment while engines of two
software versions serve. Callers take their streams up again.

With TROUBLE=0 nothing is killed.
"""
import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from clients import Stream  # noqa: E402
from fleet import CONTACT_S, TROUBLE, run  # noqa: E402

OLD, NEW = "v1", "v2"
WARM_UP_S = 12.0
STREAMS, EVENTS, EVENT_INTERVAL_S = 24, 80, 0.1
ADAPTERS = 6
BEGUN_S, DOWN_S = 2.0, 0.5
# Callers take a stream up again this long after an attempt has failed, twice at
# most, within their deadline of 15 s.
PAUSE_S, TRIES = 4.5, 3
SHARE_MIN, STREAMS_MIN = 0.5, 12


async def kill_all(fleet, record):
    processes = fleet.gateways + fleet.agents
    record.say(f"{len(processes)} processes are killed at the same moment")
    for process in processes:
        process.signal(signal.SIGKILL)
    for process in processes:
        await process.process.wait()
    await asyncio.sleep(DOWN_S)
    for process in processes:
        await process.start()
    record.say("they start again")
    return time.monotonic() - record.began


def start_streams(fleet, record, first):
    streams = []
    for n in range(first, first + STREAMS):
        stream = Stream(fleet, record, "report", n, f"a{n % ADAPTERS}",
                        events=EVENTS, tries=TRIES)
        stream.pause_s = PAUSE_S
        streams.append(stream.start())
    return streams


async def case(fleet, record):
    for i, engine in enumerate(fleet.engines):
        engine.software, engine.names_software = (OLD, NEW)[i % 2], True
        engine.event_interval_s = EVENT_INTERVAL_S
    fleet.route("report", "streaming", "llm", 15000, 2, resumable=True,
                targetGapMs=300, sticky=True)
    await fleet.up()
    await asyncio.sleep(WARM_UP_S)
    streams = start_streams(fleet, record, 0)
    await asyncio.sleep(BEGUN_S)
    if TROUBLE:
        started = await kill_all(fleet, record)
    else:
        started = time.monotonic() - record.began
    in_touch = started + CONTACT_S
    await asyncio.sleep(in_touch + record.began - time.monotonic())
    record.say("the machines are in touch again")
    new = start_streams(fleet, record, STREAMS)
    await asyncio.gather(*(s.job for s in streams + new))
    for stream in streams + new:
        record.write(f"stream {stream.first_id}: {stream.describe()}")
    taken_up = [s for s in streams
                if any(a[1] > 0 and a[4] >= in_touch for a in s.attempts)]
    went_on = [s for s in taken_up
               if any(a[1] > 0 and a[3] and a[4] >= in_touch
                      for a in s.attempts)]
    complete = sum(s.complete() for s in streams)
    began = sum(s.attempts[0][3] for s in new)
    share = len(went_on) / max(len(taken_up), 1)
    record.say(f"{complete} of {STREAMS} streams are complete; "
               f"{len(taken_up)} were taken up again at machines in touch, "
               f"{len(went_on)} of them went on; {began} of {len(new)} new "
               "streams began")
    return (len(taken_up) < STREAMS_MIN
            or share >= SHARE_MIN * began / len(new))


run(HERE, case, gateways=3, engines=6)
