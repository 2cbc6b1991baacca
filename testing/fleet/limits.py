"""The platform's rule on rate limits that targets name, checked against what
reached the stand-ins.
"""

# From CONTACT_S after a target first named its limit it may get in WINDOW_S at
# most SHARE times what that allows and SLACK requests, from gateways that were
# told TOLD_S before.
CONTACT_S, WINDOW_S, TOLD_S, SHARE, SLACK = 3.0, 4.0, 0.5, 1.5, 5


def broken_limits(targets, gateway_of, counts=lambda target, gateway, when:
                  True):
    """Returns a text for each incarnation that got too many requests while it
    named a limit.

    A limit that ended and was named anew begins anew. gateway_of maps request
    ids to gateways; counts() tells whether the rule holds for a gateway's
    request at that time.
    """
    broken = []
    for target in targets:
        periods = {}
        for told in target.limits_told:
            ended = sum(when <= told[2] for when in target.limits_ended)
            periods.setdefault((told[1], ended), []).append(told)
        for (incarnation, _), told in periods.items():
            limit = max(t[3] for t in told)
            told_at = {}
            for request, _, when, _ in told:
                told_at.setdefault(gateway_of.get(request), when)
            start = min(told_at.values()) + CONTACT_S
            end = max(t[2] for t in told)
            times = [when for request, i, when in target.arrivals
                     if i == incarnation and start <= when <= end
                     and request in gateway_of
                     and told_at.get(gateway_of[request],
                                     1e18) <= when - TOLD_S
                     and counts(target, gateway_of[request], when)]
            allowed = SHARE * limit * WINDOW_S + SLACK
            worst = max((sum(t <= u < t + WINDOW_S for u in times)
                         for t in times), default=0)
            if worst > allowed:
                broken.append(
                    f"{target.host} named a limit of {limit} a second and got "
                    f"{worst} requests in {WINDOW_S:.0f} s; allowed "
                    f"{allowed:.0f}")
    return broken
