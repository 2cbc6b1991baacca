"""The platform's rule on repeated arrivals, checked against what reached the
stand-ins of one service.
"""

RATIO = 0.2


def count_between(times, start, end):
    return sum(start <= t < end for t in times)


def worst_window(targets, sent_at, reserve, window_s):
    """Returns a text and the number of repeats beyond what is allowed in the
    worst window, which is negative if the rule is kept, and the share of the
    allowed repeats that the worst window used.

    A repeat is an arrival beyond the first of its request. sent_at maps
    request ids to the times at which the callers sent them.
    """
    arrivals = sorted((a[2], a[0]) for target in targets
                      for a in target.arrivals if a[0] in sent_at)
    seen, repeats = set(), []
    for when, request in arrivals:
        if request in seen:
            repeats.append(when)
        seen.add(request)
    sent = sorted(sent_at.values())
    worst = ("no repeats", -1.0, 0.0)
    for start in repeats:
        count = count_between(repeats, start, start + window_s)
        requests = max(count_between(sent, start - back,
                                     start - back + window_s)
                       for back in (0, window_s / 2, window_s))
        allowed = RATIO * requests + reserve
        if count - allowed > worst[1] or worst[2] == 0.0:
            worst = (f"{count} repeats in {window_s} s for {requests} "
                     f"requests; allowed {allowed:.1f}", count - allowed,
                     count / allowed)
    return worst
