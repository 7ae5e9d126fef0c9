"""A client that sends messages of one kind on one connection at full speed, and reads what is sent to it.

    python -m tests.flooder PORT KIND SECONDS

A process of its own, so that it does not slow down the stand-ins of a test. It ends when its connection does.
"""

import contextlib
import json
import socket
import sys
import threading
import time

BATCHES, BATCH_SIZE = 400, 100  # messages are made before the first is sent
FIRST_ID = 1 << 40


def message(kind: str, number: int) -> bytes:
    """One message under an id of its own."""
    call_id = f"{FIRST_ID + number:016x}"
    if kind in ("ping", "release"):
        return json.dumps({"type": kind, "id": call_id, "fields": {}, "cause": 16}).encode() + b"\n"
    fields = {"class": "lookup", "left": "3000", "key": call_id, "extras": "dest:1;width:1;via:-1"}
    if kind == "unknown class":
        fields["class"] = f"class-{number}"
    elif kind == "unknown destination":
        fields["extras"] = f"dest:{1000 + number};width:1;via:-1"
    row = {"type": "setup", "id": call_id, "fields": fields, "sdp": "o=caller\r\n"}
    return json.dumps(row).encode() + b"\n"


def read_all(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while connection.recv(1 << 20):
            pass


def main() -> None:
    port, kind, seconds = int(sys.argv[1]), sys.argv[2], float(sys.argv[3])
    batches = [
        b"".join(message(kind, batch * BATCH_SIZE + index) for index in range(BATCH_SIZE))
        for batch in range(BATCHES)
    ]
    connection = socket.create_connection(("127.0.0.1", port))
    threading.Thread(target=read_all, args=[connection], daemon=True).start()
    ends_at = time.monotonic() + seconds
    print("sending", flush=True)
    with contextlib.suppress(OSError):
        for batch in batches:
            if time.monotonic() > ends_at:
                break
            connection.sendall(batch)
    time.sleep(max(0.0, ends_at - time.monotonic()))
    connection.close()


if __name__ == "__main__":
    main()
