"""The platform's rules on what targets say of themselves in their responses,
checked against what reached the stand-ins.
"""

# After a target has answered a gateway 503 with Retry-After, it may get from
# it at most CROSSING requests between CROSSING_S after that and the end of that
# time.
CROSSING, CROSSING_S = 2, 0.5


class Sent:
    """Gateways and times of sending of requests, by their ids."""

    def __init__(self, gateway_of, at):
        self.gateway_of, self.at = gateway_of, at


def first_told(target, sent):
    """Returns when each gateway first got a response saying that the
    incarnation leaves."""
    told = {}
    for request, incarnation, when in target.leaving_told:
        if request in sent.gateway_of:
            key = (sent.gateway_of[request], incarnation)
            told[key] = min(when, told.get(key, when))
    return told


def always(target, gateway, told, when):
    """The rule holds for each request."""
    return True


def late_requests(targets, sent, bound_s, counts=always):
    """Returns a text for each gateway that sent a leaving target a request
    that its client had sent more than bound_s after the gateway was told.

    counts() tells whether the rule holds for a request that reached the target
    at a time, from a gateway that was told at an earlier one.
    """
    broken = []
    for target in targets:
        for (gateway, incarnation), told in first_told(target, sent).items():
            late = [when for request, i, when in target.arrivals
                    if i == incarnation
                    and sent.gateway_of.get(request) == gateway
                    and sent.at[request] > told + bound_s
                    and counts(target, gateway, told, when)]
            if late:
                broken.append(f"{target.host} got {len(late)} requests from "
                              f"gateway {gateway}, the last "
                              f"{max(late) - told:.2f} s after it was told")
    return broken


def broken_pauses(targets, sent, counts=always):
    """Returns a text for each pause that a gateway did not keep."""
    broken = []
    for target in targets:
        for request, incarnation, when, end in target.pauses_told:
            gateway = sent.gateway_of.get(request)
            late = [at for other, i, at in target.arrivals
                    if i == incarnation and gateway is not None
                    and sent.gateway_of.get(other) == gateway
                    and when + CROSSING_S < at < end
                    and counts(target, gateway, when, at)]
            if len(late) > CROSSING:
                broken.append(f"{target.host} asked gateway {gateway} for a "
                              f"pause of {end - when:.2f} s and got "
                              f"{len(late)} requests meanwhile")
    return broken
