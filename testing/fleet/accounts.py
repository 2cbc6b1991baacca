"""Client accounts: requests with keys, and the rules on withdrawn keys and
quotas, checked against what ran at the stand-ins.
"""
import asyncio
import time

from deployment import call, parse_response, read_to_eof, request_headers
from load import Load

# Settings of the gateways under test.
REVOKE_S, WINDOW_S, OVER, SLACK = 2.0, 8.0, 0.1, 17000
SETTINGS = (f"strict_revoke: true\nrevoke_ms: {REVOKE_S * 1000:.0f}\n"
            f"quota_window_s: {WINDOW_S:.0f}\nquota_over: {OVER}\n"
            f"quota_slack: {SLACK}\n")
# Time within which a version that was acknowledged is in force.
CONFIG_S = 3.0


def account(name, keys, **options):
    return dict({"name": name, "apiKeys": list(keys)}, **options)


class KeyedLoad(Load):
    """Requests of one account, each at the same cost."""

    def __init__(self, client, key, per_s, pick_gateway, tokens=None,
                 kind="again"):
        fields = {"X-Key": key}
        if tokens is not None:
            fields["X-Token-Usage"] = f"{tokens - 1},1"
        super().__init__(client, kind, per_s, pick_gateway, fields=fields)
        self.cost = 1 if tokens is None else tokens

    def costs(self):
        return {request: self.cost for request in self.sent_at}

    def statuses(self, since=0, until=1e18):
        """Numbers of responses by status, to requests sent by then."""
        counts = {}
        for sent_at, status, _, _ in self.answers:
            if since <= sent_at < until:
                counts[status] = counts.get(status, 0) + 1
        return counts


async def ask(client, gateway, route="again", fields=(), trailers=None,
              body=b"x", method="POST"):
    """Sends one request with these header fields, repeated ones and all.

    Returns its id and the status.
    """
    number = client.next_id()
    lines = [f"{method} /{route}/1 HTTP/1.1", "Host: h.example",
             f"X-Request-Id: {number:016x}", "X-Deadline-Ms: 1500"]
    lines += [f"{name}:{value}" for name, value in fields]
    if trailers is None:
        lines.append(f"Content-Length: {len(body)}")
        rest = body
    else:
        lines.append("Transfer-Encoding: chunked")
        rest = b"%x\r\n%s\r\n0\r\n" % (len(body), body) + "".join(
            f"{name}:{value}\r\n" for name, value in trailers).encode(
                ) + b"\r\n"
    reader, writer = await asyncio.open_connection(
        f"127.0.3.{gateway + 1}", client.deployment.port)
    try:
        writer.write(("\r\n".join(lines + ["Connection: close"])
                      + "\r\n\r\n").encode("latin-1") + rest)
        data = await asyncio.wait_for(read_to_eof(reader), 10)
    finally:
        writer.transport.abort()
    return f"{number:016x}", parse_response(data)[0]


def run_times(client):
    """The time of each request's first run."""
    times = {}
    for run in client.deployment.runs():
        times[run[0]] = min(run[5], times.get(run[0], run[5]))
    return times


def late_runs(client, loads, withdrawn_at):
    """The requests that ran although they were sent later than REVOKE_S after
    their key's withdrawal was acknowledged."""
    ran = run_times(client)
    return [(request, round(sent_at - withdrawn_at, 3)) for load in loads
            for request, sent_at in load.sent_at.items()
            if sent_at > withdrawn_at + REVOKE_S and request in ran]


def used_in_windows(client, loads, since=0):
    """The most that ran in one window, and all since then."""
    ran = run_times(client)
    uses = sorted((ran[request], cost) for load in loads
                  for request, cost in load.costs().items()
                  if request in ran and ran[request] >= since)
    worst = total = first = 0
    for when, cost in uses:
        total += cost
        while uses[first][0] <= when - WINDOW_S:
            total -= uses[first][1]
            first += 1
        worst = max(worst, total)
    return worst, sum(cost for _, cost in uses)


def allowed_in_window(rate, burst, slack):
    return (rate * WINDOW_S + burst) * (1 + OVER) + slack


async def wait_until_served(client, gateway, key, timeout_s):
    """Returns the time until a request with the key is served, or None."""
    start = time.monotonic()
    while time.monotonic() - start < timeout_s:
        try:
            status, _, _, _ = await call(
                f"127.0.3.{gateway + 1}", client.deployment.port, "POST",
                "/again/1", dict(request_headers(client.next_id(),
                                                 deadline_ms=1500),
                                 **{"X-Key": key}), b"x")
        except OSError:
            status = 0
        if status == 200:
            return time.monotonic() - start
        await asyncio.sleep(0.03)
    return None
