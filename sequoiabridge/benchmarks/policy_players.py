"""What plays against the fake pool: our policy, the baselines, and a probe-pool baseline."""

from collections import deque

from ..policy.base import Chooser, Failure, LoadReport
from ..policy.choosers import chooser_named, untried
from ..policy.pool import PoolOptions, PoolState
from ..policy.probing import ProbeBudget
from ..policy.upstream_state import UpstreamSpec
from .policy_pool import SLOTS

PROBE_BYTES = 260
"""Bytes of one probe both ways over HTTP/1.1, heads included; see `docs/design/choosing.md`."""

ITEM_BYTES = 60
"""Bytes of one load item to one peer, framing included."""


class ProbePoolChooser(Chooser):
    """Baseline: the pool of recent probes known from Prequal (hot-cold rule on load and latency).

    Of the probes kept, those under the 84th percentile of recent loads are cold: the one with the
    least latency wins; if none is cold, the least load does. Its probes carry the instance's own
    mean latency, which our load reports do not.
    """

    KEEP, MAX_AGE, USES, HOT = 16, 1.0, 2, 0.84

    def __init__(self):
        self.probes = deque(maxlen=self.KEEP)
        self.loads = deque(maxlen=64)

    def probed(self, now, name, in_flight, latency):
        for old in [p for p in self.probes if p[0] == name]:
            self.probes.remove(old)
        self.probes.append([name, in_flight, latency, now, self.USES])
        self.loads.append(in_flight)

    def choose(self, candidates, now, random, tried=()):
        known = {c.name: c for c in untried(candidates, tried)}
        while self.probes and self.probes[0][3] < now - self.MAX_AGE:
            self.probes.popleft()
        usable = [p for p in self.probes if p[0] in known]
        if not usable:
            return random.choice(list(known.values())) if known else None
        limit = sorted(self.loads)[int(self.HOT * (len(self.loads) - 1))]
        cold = [p for p in usable if p[1] <= limit]
        best = min(cold, key=lambda p: p[2]) if cold else min(usable, key=lambda p: p[1])
        self.take(best)
        return known[best[0]]

    def take(self, best):
        """Count the use of a probe; dropping the worst besides made it do worse in trials."""
        best[1] += 1
        best[4] -= 1
        if best[4] <= 0:
            self.probes.remove(best)


class ProbeLoadChooser(ProbePoolChooser):
    """Baseline: the same pool of probes, by the least load alone."""

    HOT = -1.0


PROBE_POOLS = {"probe-pool": ProbePoolChooser, "probe-load": ProbeLoadChooser}


class Entry:
    """One way to play: a chooser, what it may spend, and whether upstreams are ejected."""

    __slots__ = ("kind", "probes", "tail_weight", "share", "ejects")

    def __init__(self, kind, probes=0.0, tail_weight=0.5, share=False, ejects=None):
        self.kind, self.probes, self.tail_weight, self.share = kind, probes, tail_weight, share
        self.ejects = kind == "evidence" if ejects is None else ejects

    @property
    def name(self):
        """Name in the tables."""
        return self.kind + ("+ejection" if self.ejects and self.kind != "evidence" else "")


class Ticket:
    """One attempt: the upstream's evidence and when the call was sent."""

    __slots__ = ("upstream", "name", "sent")

    def __init__(self, upstream, sent):
        self.upstream, self.name, self.sent = upstream, upstream.name, sent


class Player:
    """One VM: a pool state with a chooser, and what it spends on measuring."""

    def __init__(self, entry, names, late, random):
        self.random, self.late, self.peers, self.share = random, late, [], entry.share
        self.spent_probes = self.spent_bytes = 0
        self.own = entry.kind == "evidence"
        chooser = (
            PROBE_POOLS[entry.kind]() if entry.kind in PROBE_POOLS else chooser_named(entry.kind)
        )
        options = PoolOptions(0.3 if entry.ejects else 0.0, entry.tail_weight, entry.probes)
        self.state = PoolState("katalog", options, chooser, random)
        self.specs = [UpstreamSpec(n, n, SLOTS, 260, "a") for n in names]
        self.state.set_upstreams([s for s in self.specs if s.name != late], 0.0)
        self.budget = ProbeBudget(entry.probes, entry.tail_weight)
        self.tokens, self.per_call = 0.0, entry.probes / 1000
        self.fake = None
        self.told = {}

    def grow(self, now):
        """The upstream that joins late is configured."""
        if self.late:
            self.state.set_upstreams(self.specs, now)

    def ask(self, now):
        """A call came in: probe what it pays for; return whether to wait for the answers."""
        if not self.per_call:
            return False
        if not self.own:
            self.tokens += self.per_call
            count, self.tokens = int(self.tokens), self.tokens % 1
            self.probe(now, [self.random.choice(self.state.usable).name for _ in range(count)])
            return False
        self.budget.record_calls(1, now)
        asked = self.budget.choice_targets(self.state, now)
        self.probe(now, asked + self.budget.background_targets(self.state, now))
        return bool(asked)

    def probe(self, now, names):
        """Send probes."""
        for name in names:
            self.spent_probes += 1
            self.spent_bytes += PROBE_BYTES
            self.fake.probe(now, name, self.probed)

    def send(self, now):
        """Choose and send; return the ticket of the attempt, or None."""
        upstream = self.state.choose(now)
        if upstream is None:
            return None
        self.state.record_send(upstream, now)
        return Ticket(upstream, now)

    def probed(self, now, name, in_flight, latency):
        if self.own:
            self.state.record_probe(name, now, 0.002, LoadReport(in_flight, SLOTS))
        else:
            self.state.chooser.probed(now, name, in_flight, latency)

    def answered(self, now, ticket, in_flight, leaving):
        upstream, report = ticket.upstream, LoadReport(in_flight, SLOTS)
        self.state.record_answer(upstream, now, 200, now - ticket.sent, report)
        if leaving:
            self.state.drain(upstream.name, 1, now)
        self.tell(now, upstream)

    def failed(self, now, ticket):
        self.state.record_failure(ticket.upstream, now, Failure.ERROR, now - ticket.sent)
        self.tell(now, ticket.upstream)

    def tell(self, now, upstream):
        """Tell the peers when an upstream becomes a suspect, if sharing is on."""
        if not self.share:
            return
        suspect = upstream.ejected_until > now
        if not suspect or now - self.told.get(upstream.name, -9.0) < 1.0:
            return
        self.told[upstream.name] = now
        in_flight = upstream.report.in_flight if upstream.report else 0
        word = (upstream.name, in_flight, upstream.latency, True, now - upstream.report_at)
        for peer in self.peers:
            self.spent_bytes += ITEM_BYTES
            self.fake.at(now + 0.002, peer.hear, word, str(id(self)))

    def hear(self, now, word, sender):
        name, in_flight, latency, suspect, age = word
        self.state.record_peer_load(name, in_flight, latency, suspect, max(0.0, age), sender, now)
