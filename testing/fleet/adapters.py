"""Adapters by the engine that gateways prefer for them."""
import subprocess

from standin import Engine

COUNT = 1000


class FreshAdapters:
    """Names of adapters that no engine has had yet, each given out once.

    Engines of a test are used only for adapters that are placed there, so a
    check that an engine gets requests has to ask for such adapters.
    """

    def __init__(self, deployment):
        addresses = [e.address for e in deployment.engines]
        lines = subprocess.run(
            [str(deployment.build / "first-choices"), Engine.MODEL, "fresh",
             str(COUNT), *addresses], check=True, capture_output=True,
            text=True).stdout.split()
        self.unused = {address: [] for address in addresses}
        for number, address in enumerate(lines):
            self.unused[address].append(f"fresh{number}")

    def placed_at(self, engine):
        """Returns an adapter that idle engines without a copy of it load at
        this one."""
        return self.unused[engine.address].pop()
