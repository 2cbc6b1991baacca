"""Checks of how often targets get a request that ends them."""
from cases import check

# Time after which all gateways know of a crash, and sends after that which
# the platform allows.
CONTACT_S = 3.0
LATE_SENDS_MAX = 3


def targets_of(client):
    return client.deployment.engines + client.deployment.plains


def crashes_of(client, cause):
    """Times at which a run with `cause`, a body or a part of the prompt, ended
    a target."""
    return sorted(when for target in targets_of(client)
                  for _, crashed, when in target.crashes if crashed == cause)


def count_late_sends(client, cause, limit):
    """Counts the sends later than CONTACT_S after the crash number `limit`.
    Targets are counted, not moments."""
    crashes = crashes_of(client, cause)
    check(len(crashes) >= limit, cause, len(crashes), "crashes")
    return sum(crashing == cause and t > crashes[limit - 1] + CONTACT_S
               for target in targets_of(client)
               for _, crashing, t in target.crashing_runs)
