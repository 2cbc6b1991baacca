"""Peak memory of processes under test."""
import os
import pathlib

# A sanitizer keeps freed memory for a while, which would count as used.
os.environ.setdefault("ASAN_OPTIONS", "quarantine_size_mb=0:"
                      "thread_local_quarantine_size_kb=0:"
                      "allocator_release_to_os_interval_ms=100")


def read_peak_bytes(process):
    status = pathlib.Path(f"/proc/{process.process.pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("VmHWM"))
    return int(line.split()[1]) * 1024


def reset_peak(process):
    pathlib.Path(f"/proc/{process.process.pid}/clear_refs").write_text("5")


def is_sanitized(path):
    return b"__asan_init" in path.read_bytes()


def read_idle_bytes(process):
    """Memory that doesn't count: that of a sanitizer itself."""
    if is_sanitized(pathlib.Path(process.command[0])):
        return read_peak_bytes(process)
    return 0
