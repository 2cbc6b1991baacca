"""Runs end-to-end cases against a deployment on loopback, and the client that
they share.
"""
import argparse
import asyncio
import os
import pathlib
import tempfile
import time

from deployment import Deployment, call, request_headers

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
GATEWAYS = ["127.0.3.1", "127.0.3.2", "127.0.3.3"]


class TestClient:
    """Sends requests with unique ids to the deployment under test."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.number = 0

    def next_id(self):
        self.number += 1
        return self.number

    def record_sent(self, number, route, adapter, gateway):
        """Told of each attempt of a Stream."""

    def key_fields(self, request):
        """Header fields of an attempt of a Stream, for its client account."""
        return {}

    async def stream(self, adapter, route="resumed", events=10, gateway=0,
                     headers=None, deadline_ms=3500, body=b"prompt",
                     tokens=100):
        number = self.next_id()
        sent = request_headers(number, adapter, tokens, events,
                               deadline_ms=deadline_ms)
        sent.update(headers or {})
        answer = await call(GATEWAYS[gateway], self.deployment.port, "POST",
                            f"/{route}/1", sent, body)
        return f"{number:016x}", answer

    async def plain(self, route, gateway=0, method="POST", body=b"x",
                    deadline_ms=1500):
        number = self.next_id()
        answer = await call(GATEWAYS[gateway], self.deployment.port, method,
                            f"/{route}/1", request_headers(
                                number, deadline_ms=deadline_ms), body)
        return f"{number:016x}", answer

    def runs_of(self, request):
        return [run for run in self.deployment.runs() if run[0] == request]


def check(condition, *shown):
    if not condition:
        raise AssertionError(" ".join(map(str, shown)))


class StallWatch:
    """Measures how long this process, and the stand-ins in it, did nothing.

    Targets seem silent by then, and callers send nothing.
    """

    INTERVAL_S = 0.01

    def __init__(self):
        self.longest_s = 0.0
        self.task = asyncio.ensure_future(self.run())

    async def run(self):
        while True:
            before = time.monotonic()
            await asyncio.sleep(self.INTERVAL_S)
            stalled_s = time.monotonic() - before - self.INTERVAL_S
            self.longest_s = max(self.longest_s, stalled_s)

    def stop(self):
        self.task.cancel()


async def run_cases(args, cases, known_failures, prepare=None, settled=False,
                    **options):
    """Runs the cases on one deployment and prints "N passed, N failed".

    known_failures maps a case to the start of the only error that is passed
    over and printed. Each has an entry in KNOWN-RED.txt; any other error fails
    the case. prepare() gets the deployment before it starts. With `settled` the
    cases begin once seeds grant retries. Returns the exit code.
    """
    folder = tempfile.mkdtemp(prefix="e2e-platform-")
    deployment = Deployment(args.build, folder, port=args.port, **options)
    if prepare is not None:
        prepare(deployment)
    client = TestClient(deployment)
    passed = failed = 0
    try:
        await deployment.up()
        if settled:
            await deployment.wait_for_reserve()
        for case in cases:
            if args.only and case.__name__ != args.only:
                continue
            stalls = StallWatch()
            began = time.monotonic()
            try:
                await case(client)
                passed += 1
                print(f"ok      {case.__name__}, "
                      f"{time.monotonic() - began:.0f} s", flush=True)
            except Exception as error:  # the other cases run all the same
                known = known_failures.get(case.__name__)
                if known is not None and str(error).startswith(known):
                    print(f"KNOWN RED  {case.__name__}: {error}")
                    continue
                failed += 1
                print(f"FAILED  {case.__name__}: {type(error).__name__} "
                      f"{error}; the stand-ins stood still for up to "
                      f"{stalls.longest_s * 1000:.0f} ms")
            finally:
                stalls.stop()
    finally:
        await deployment.down()
    for path in deployment.sanitizer_reports():
        failed += 1
        print(f"FAILED  sanitizer report in {path}")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed else 0


def parse_arguments(description, parse=True):
    """Returns the arguments that all scripts have, or their parser."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--build", default=str(ROOT / "build" / "test"))
    # CM_TEST_PORT lets two runs of the whole test suite go side by side.
    parser.add_argument("--port", type=int, default=int(
        os.environ.get("CM_TEST_PORT", 23000)))
    parser.add_argument("--only", help="run only the case of this name")
    return parser.parse_args() if parse else parser
