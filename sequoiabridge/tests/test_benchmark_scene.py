"""Addresses of the daemons in the benchmarks' scene."""

from ..benchmarks.scene import Scene


def test_daemons_have_distinct_ips_and_the_same_ports():
    scene = Scene(None, 300)
    daemons = [*scene.daemons, scene.new_daemon("vm-new")]
    for kind in ("callers", "admin", "fleet"):
        pairs = [getattr(daemon, kind).split(":") for daemon in daemons]
        assert len({ip for ip, _ in pairs}) == 301
        assert len({port for _, port in pairs}) == 1
    first = daemons[0]
    assert len({first.callers, first.admin, first.fleet}) == 3
