"""Processes of a stack that scripts/devstack runs."""
import os
import pathlib


class Child:
    """A process of the stack, as the checks of memory expect it."""

    def __init__(self, pid):
        self.pid = pid
        self.process = self
        command = pathlib.Path(f"/proc/{pid}/cmdline").read_bytes()
        self.command = [command.split(b"\0")[0].decode()]

    @property
    def returncode(self):
        return None if os.path.exists(f"/proc/{self.pid}/status") else 1
