"""Compare start-up time and memory of the gatekeeper in two source trees, measured alternately.

Prints the medians of both trees and the median ratio.

Usage: python benchmarks/start_up.py THIS_TREE OTHER_TREE [ROUNDS]
"""

import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

SETTINGS = {
    "balancers": 1,
    "ordinal": 0,
    "classes": [{"name": "lookup", "value": 1.0, "objective-ns": 3 * 10**9, "deadline-ns": 9 * 10**9}],
    "family-info": {"shape": "mesh", "here": 0},
    "limits": {"max-attempts": 5},
}


def start(tree: str) -> tuple[float, float]:
    """Return the seconds until the gatekeeper answers a ping with cause 1, and its resident megabytes 1 s later."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder, "config.json")
        document = {"name": "n0", "listen": f"127.0.0.1:{port}", "settings": SETTINGS}
        config.write_text(json.dumps(document))
        started_s = time.perf_counter()
        process = subprocess.Popen(
            [sys.executable, "-m", "tansyspur"], cwd=tree, stderr=subprocess.DEVNULL,
            env={**os.environ, "ROUTER_CONFIG": str(config), "TMPDIR": folder, "ROUTER_NAME": "n0"},
        )  # fmt: skip
        try:
            for _ in range(5000):
                try:
                    with socket.create_connection(("127.0.0.1", port), timeout=1) as connection:
                        connection.sendall(b'{"type":"ping","id":"00000000000000ff","fields":{},"cause":0}\n')
                        if json.loads(connection.makefile().readline() or "{}").get("cause") == 1:
                            break
                except (OSError, ValueError):
                    pass
                time.sleep(0.002)
            else:
                raise RuntimeError(f"gatekeeper of {tree} was not ready after 5000 attempts")
            elapsed_s = time.perf_counter() - started_s
            time.sleep(1)
            pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
            return elapsed_s, pages * os.sysconf("SC_PAGE_SIZE") / 1e6
        finally:
            process.terminate()
            process.wait()


def main(this: str, other: str, rounds: int) -> None:
    start(this), start(other)
    measurements = [(start(this), start(other)) for _ in range(rounds)]
    for i, label in enumerate(("start-up, s", "resident memory, MB")):
        this_values, other_values = ([pair[side][i] for pair in measurements] for side in (0, 1))
        ratio = statistics.median(a / b for a, b in zip(this_values, other_values, strict=True))
        print(
            f"{label:20} {statistics.median(this_values):8.3f} {statistics.median(other_values):8.3f}  "
            f"ratio {ratio:.3f}"
        )


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2], int(sys.argv[3]) if len(sys.argv) > 3 else 15)
