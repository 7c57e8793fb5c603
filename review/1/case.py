"""Uploads in chunks while instances reset part of their new connections: are bodies changed?"""

from __future__ import annotations

import asyncio
import hashlib
import random
import sys
import time
from pathlib import Path

from standins.deployment import (
    Client,
    Daemon,
    Deployment,
    desired_state,
    event_line,
    route,
    run_case,
)
from standins.http import chunked, encode

HOST = "jepu9.example"
DAEMONS = 3
INSTANCES = 6
"""As many as `kirjanpito-lataus` has, with the same slots, queue and work."""

UPLOAD_BYTES = 3_000_000
"""The desired state allows 67,108,864."""

CHUNK_BYTES = 65536
UPLOADS_AT_ONCE = 8
"""For each daemon; all together keep the instances about two thirds busy."""

PAUSE_SECONDS = 0.8
ROUNDS_BEFORE, ROUNDS_AFTER = 3, 4
DISRUPTIONS = 3

RESET_SHARE = 0.4
"""Share of new connections that are reset: x (.4) of `srv_grey`, how "reset all"."""

DISRUPTION_SECONDS = 8.0
"""The longest `srv_grey` in the site files lasts 8.5 s."""

BODY_COUNT = 24
"""Number of different bodies; they are made before the traffic starts."""


class Upload:
    """One upload and what became of it."""

    def __init__(self, number: int, body: bytes, sha256: str):
        self.attempt = f"u{number:05d}"
        self.body = body
        self.sha256 = sha256
        self.answer = "no connection"

    async def send(self, daemon: Daemon) -> None:
        """Send it on a new connection and wait for the answer."""
        headers = [
            ("Host", HOST),
            ("X-Attempt-Id", self.attempt),
            ("X-Deadline-Ms", "3000"),
            ("Transfer-Encoding", "chunked"),
        ]
        try:
            client = await Client.connect(daemon)
        except OSError:
            return
        try:
            await client.send(
                encode("POST /up/ledger HTTP/1.1", headers) + chunked(self.body, CHUNK_BYTES)
            )
        except OSError:
            pass  # An answer may have come before the end of the body.
        answer = await client.answer()
        client.close()
        self.answer = "closed" if answer is None else f"{answer.status} complete={answer.complete}"


async def play(deployment: Deployment, trouble: bool) -> tuple[bool, list[str]]:
    settings = [
        {"id": f"i-{number}", "service": "intake", "work": 0.26, "seed": number}
        for number in range(INSTANCES)
    ]
    config = desired_state(HOST, [route("/up/", "upload", "intake", 3.0, 0.8)])
    await deployment.start(DAEMONS, settings, config, grace=6)
    bodies = [random.Random(number).randbytes(UPLOAD_BYTES) for number in range(BODY_COUNT)]
    digests = [hashlib.sha256(body).hexdigest() for body in bodies]
    uploads: dict[str, Upload] = {}
    tasks = []

    async def send_round() -> None:
        for daemon in deployment.daemons * UPLOADS_AT_ONCE:
            number = len(uploads) % BODY_COUNT
            upload = Upload(len(uploads), bodies[number], digests[number])
            uploads[upload.attempt] = upload
            tasks.append(asyncio.create_task(upload.send(daemon)))
        await asyncio.sleep(PAUSE_SECONDS)

    for _ in range(ROUNDS_BEFORE):
        await send_round()
    for _ in range(DISRUPTIONS):
        for instance in deployment.instances:
            await instance.set(reset_share=RESET_SHARE if trouble else 0.0)
        end = time.monotonic() + DISRUPTION_SECONDS
        while time.monotonic() + PAUSE_SECONDS < end:
            await send_round()
        await asyncio.sleep(max(0.0, end - time.monotonic()))
        for instance in deployment.instances:
            await instance.set(reset_share=0.0)
        for _ in range(ROUNDS_AFTER):
            await send_round()
    await asyncio.gather(*tasks)
    await asyncio.sleep(0.5)
    return judge(deployment.events, uploads)


def judge(events: list[dict], uploads: dict[str, Upload]) -> tuple[bool, list[str]]:
    """Compare what instances ran with what was sent."""
    runs = [event for event in events if event["event"] == "run"]
    changed = [
        f"{run['attempt']}: sent {UPLOAD_BYTES} bytes {uploads[run['attempt']].sha256[:12]}; "
        f"{run['instance']} ran {run['bytes']} bytes {run['sha256'][:12]}; "
        f"the requester got {uploads[run['attempt']].answer}"
        for run in runs
        if run["sha256"] != uploads[run["attempt"]].sha256
    ]
    answered = sum(one.answer == "200 complete=True" for one in uploads.values())
    resets = sum(event["event"] == "reset" for event in events)
    lines = [
        f"uploads sent {len(uploads)}, answered 200 {answered}, run {len(runs)}, "
        f"connections reset {resets}, run with another body {len(changed)}",
        *changed,
        "all uploads:",
        *(f"{one.attempt} {one.sha256[:12]} {one.answer}" for one in uploads.values()),
        "all that the instances did:",
        *map(event_line, events),
    ]
    return bool(changed), lines


if __name__ == "__main__":
    sys.exit(asyncio.run(run_case(play, Path(__file__).resolve().parent)))
