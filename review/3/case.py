"""SIGTERM of a daemon, and requests on kept connections soon after: are they all answered?"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from standins.deployment import Client, Deployment, desired_state, event_line, route, run_case
from standins.http import encode

HOST = "jepu9.example"
GRACE_SECONDS = 6
INSTANCES = 10
"""As many as `statement-archive` has, with the same slots."""

WORK_SECONDS = 2.85
"""`statement-pull` takes 0.55 s in the mean and 4.1 s at most."""

FIRST_SEND_SECONDS, SEND_INTERVAL_SECONDS = 3.01, 0.01
"""When requests are sent, after SIGTERM. The rule excuses requests sent up to 3 s after it."""

CLIENTS = 25


class Pull:
    """One request on a kept connection."""

    def __init__(self, number: int):
        self.attempt = f"p{number:05d}"
        self.client: Client | None = None
        self.sent_at: float | None = None
        self.ended_at = 0.0
        self.is_answered = False
        self.outcome = "the daemon had closed the idle connection"

    def encode(self, work: float, attempt: str) -> bytes:
        headers = [("Host", HOST), ("X-Attempt-Id", attempt), ("X-Deadline-Ms", "10000")]
        return encode(f"GET /pull/x?work={work} HTTP/1.1", headers)

    async def warm_up(self, daemon) -> bool:
        """Make a first call on the connection; return whether the daemon keeps it."""
        self.client = await Client.connect(daemon)
        await self.client.send(self.encode(0.02, f"w{self.attempt}"))
        answer = await self.client.answer()
        return answer is not None and answer.status == 200 and answer.keeps_alive

    async def send(self, start: float, delay: float) -> None:
        """Send the request `delay` seconds after `start` unless the connection has been closed."""
        await asyncio.sleep(start + delay - time.monotonic())
        if self.client.reader.at_eof():
            return
        self.sent_at = time.monotonic() - start
        try:
            await self.client.send(self.encode(WORK_SECONDS, self.attempt))
        except OSError:
            pass  # It has been closed meanwhile.
        answer = await self.client.answer()
        self.ended_at = time.monotonic() - start
        if answer is None:
            self.outcome = "closed without an answer"
            return
        source = "instance's" if "x-server-signature" in answer.headers else "daemon's own"
        self.is_answered = answer.complete and source == "instance's"
        self.outcome = f"{answer.status}, the {source}, complete={answer.complete}"


async def play(deployment: Deployment, trouble: bool) -> tuple[bool, list[str]]:
    settings = [
        {"id": f"i-{number}", "service": "archive", "slots": 4, "work": 0.55, "seed": number}
        for number in range(INSTANCES)
    ]
    config = desired_state(HOST, [route("/pull/", "idempotent", "archive", 5.0, 1.5)])
    await deployment.start(2, settings, config, GRACE_SECONDS)
    daemon = deployment.daemons[0]
    pulls = [Pull(number) for number in range(CLIENTS)]
    kept = [await pull.warm_up(daemon) for pull in pulls]
    await asyncio.sleep(3.5)
    start = daemon.terminate() if trouble else time.monotonic()
    await asyncio.gather(
        *(
            pull.send(start, FIRST_SEND_SECONDS + number * SEND_INTERVAL_SECONDS)
            for number, pull in enumerate(pulls)
        )
    )
    await asyncio.sleep(0.3)
    return judge(deployment.events, pulls, all(kept), start)


def judge(
    events: list[dict], pulls: list[Pull], all_kept: bool, start: float
) -> tuple[bool, list[str]]:
    """Find requests that were broken off while an instance was at work on them.

    The daemon closed the connection, or gave an answer of its own, before the instance had ended
    the work and long before the route's timeout.
    """
    run = {event["attempt"]: event for event in events if event["event"] == "run"}
    answered = {event["attempt"] for event in events if event["event"] == "answered"}
    lost = [
        pull
        for pull in pulls
        if pull.attempt in run.keys() - answered and pull.sent_at > 3.0 and not pull.is_answered
    ]
    lines = [
        f"connections {len(pulls)}, all kept after their first answer: {all_kept}; "
        f"requests sent {sum(pull.sent_at is not None for pull in pulls)}, run {len(run)} with "
        f"those of the first answers, lost {len(lost)}",
        *(
            f"lost: {pull.attempt} sent {pull.sent_at:.3f} s after SIGTERM, run by "
            f"{run[pull.attempt]['instance']}, {pull.outcome} at {pull.ended_at:.3f} s"
            for pull in lost
        ),
        "all requests (seconds after SIGTERM):",
        *(f"{pull.attempt} {pull.sent_at} {pull.ended_at:.3f} {pull.outcome}" for pull in pulls),
        f"all that the instances did (SIGTERM at {start:.3f}):",
        *map(event_line, events),
    ]
    return bool(lost), lines


if __name__ == "__main__":
    sys.exit(asyncio.run(run_case(play, Path(__file__).resolve().parent)))
