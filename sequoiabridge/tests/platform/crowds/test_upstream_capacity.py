"""Crowds of callers whose uploads stop short cannot take a service's upstreams from others."""

from .crowd import Crowd, CrowdCaller, head
from .scene import run_scene

CROWD = 60
"""Number of callers; more than the upstreams of the service have slots and connections."""

BODY_BYTES = 12_000_000
"""Size of a body of which the daemon keeps only the first part."""

SENT_BYTES = 3_000_000
"""What a caller sends of it before it stops."""

LARGE_LIMIT = 64 * 1024 * 1024


def test_uploads_that_stop_short_leave_upstreams_to_other_callers():
    # Each held a place and a connection at an upstream until the route's timeout.
    async def test(scene):
        data = head("POST", "/slow-upload/x", f"Content-Length: {BODY_BYTES}")
        data += b"x" * SENT_BYTES
        await scene.let_in(Crowd([CrowdCaller(scene.address, data) for _ in range(CROWD)]))
        await scene.check_ordinary_request("/approve/x", "POST", b"approved")

    run_scene(test, max_body_bytes=LARGE_LIMIT)


def test_an_upload_of_64_mib_is_served_in_calm():
    async def test(scene):
        body = b"x" * LARGE_LIMIT
        await scene.check_ordinary_request("/slow-upload/x", "POST", body)

    run_scene(test, max_body_bytes=LARGE_LIMIT)
