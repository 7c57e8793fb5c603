"""Which of several upstreams a call goes to: the one that is likely to cost it least.

All costs are in one unit, the worth of an answer in time. No I/O; time is an argument.
"""

from __future__ import annotations

from math import exp, log

from .upstream import Upstream

LATE_COST = 0.9
"""Part of a call's worth that is lost when its answer comes late (the users' figures: a late one
is worth a tenth)."""

EXPIRED_COST = 1.0
"""Cost of a call's waiting at an upstream until its caller leaves: more than any place is worth to
others, so that such a call is rather turned away at once."""

MAX_DISPLACEMENT_COST = 0.45
"""Worth to other calls up to which a place is given to one that is late already. Without it, such
calls took a fifth of the places of the users' most crowded day; 5,002 of 9,306 reads were in time,
5,935 with it, one run each."""

LOG_DURATION_SPREAD = 0.25
"""Spread of the logarithm of a call's duration around what is expected: work times spread by 0.3
and reports are some milliseconds old."""

COLD_START_FACTOR = 2.0
"""How many times longer work takes on an upstream that has just started (the users' figure)."""

REMAINING_WORK_SHARE = 0.67
"""Part of its work that a running request still has before it, on average; a little over half,
since those that run long are met more often."""

UNHEALTHY_COST = 0.25
"""Cost of an upstream that calls itself unwell: some say so wrongly, so it is not shut out."""

OVERDUE_COST = 0.2
"""Cost of each open call there that is overdue: it may have fallen silent."""

UNRESPONSIVE_COST = 0.5
"""Cost of an upstream that did not answer the last probe."""

SATURATED_FACTOR = 1.7
"""How many times longer work takes on an upstream of which all slots are taken: some slow down when
they are nearly full (1.7 times at the users' site that shows it)."""

MIN_OVERLOAD_WEIGHT = 0.15
"""Share of the work that a full upstream does not get done which is missed even where places are
not scarce: the calls there may meet a neighbour as well and be late."""

DEFAULT_SLOWDOWN = 2.5
"""Slowdown that is assumed of an upstream that has not told its load lately: the mean over time
where neighbours slow it sevenfold for a quarter of it."""

MAX_LATE_PROBABILITY = 0.2
"""Likelihood of being late from which a call is not sent into a queue. Of 0.7,
0.4, 0.2 and 0.05, one run each of the users' most crowded day: worth 0.352, 0.389, 0.416, 0.403."""

MAX_QUEUE_PER_SLOT = 2
"""Requests for each slot that may wait at an upstream at most; the users' upstreams have room for 2
to 4 and reset the connection of one more, which leaves open whether that ran."""

MAX_SLOWDOWN_AGE = 0.5
"""Seconds after which a reported slowdown says nothing any more: neighbours change twice a
second."""

MAX_OCCUPANCY_AGE = 0.1
"""Seconds after which an upstream's word is too old for sending a call into its queue or its last
slot: by then other VMs have taken the same place. In a fleet of 101 VMs, such calls took 2.0 s
where 0.56 s was expected; without them a day with bursts earned 0.652 of what was owed, 0.566
before (one run each)."""

NO_REPORT_AGE = float("inf")
"""Age of the word of an upstream that has told no load yet."""

DURATION_COST = 0.05
"""Cost of an expected duration as long as the target latency; decides between upstreams that would
all answer in time."""


class CallRequirements:
    """What the choice must know of a call.

    Attributes:
        work: Seconds that its work takes on an upstream that nothing slows.
        time_left: Seconds until its answer is late; negative once it is.
        target: Seconds from arrival within which an answer is in time.
        far_cost: Cost of the bytes that it would move between data centres.
        patience: Seconds until its caller leaves.
        crowding: Share of new calls of the service that lately found no place at once.
    """

    __slots__ = (
        "work",
        "time_to_target",
        "target_latency",
        "transfer_cost",
        "time_to_deadline",
        "overload_ratio",
    )

    def __init__(
        self,
        work: float,
        time_to_target: float,
        target_latency: float,
        transfer_cost: float,
        time_to_deadline: float,
        overload_ratio: float,
    ):
        self.work = work
        self.time_to_target = time_to_target
        self.target_latency = target_latency
        self.transfer_cost = transfer_cost
        self.time_to_deadline = time_to_deadline
        self.overload_ratio = overload_ratio

    @property
    def is_late(self) -> bool:
        """Return whether its answer will be late wherever it goes."""
        return self.time_to_target <= 0.0


class CostEstimate:
    """One upstream as it was weighed.

    Attributes:
        expected: Seconds that the call would take there.
        alone: Seconds that it would take there if it had to wait for no other.
        late: How likely its answer is to come late.
        cost: What sending it there is likely to cost.
        queue: Requests that it would wait for; 0 if it gets the last free slot.
        age: Seconds since the upstream told its load.
        displaced: What the place is worth to another call, which would be in time there, if this
            one is late already.
        others: What the call's being there costs the calls that are there.
    """

    __slots__ = (
        "upstream",
        "expected_duration",
        "processing_time",
        "late_probability",
        "cost",
        "slowdown",
        "queue_position",
        "report_age",
        "displacement_cost",
        "saturation_cost",
    )

    def __init__(
        self,
        upstream: Upstream,
        expected_duration: float,
        processing_time: float,
        late_probability: float,
        cost: float,
        slowdown: float,
        queue_position: int,
        report_age: float,
        displacement_cost: float,
        saturation_cost: float = 0.0,
    ):
        self.upstream = upstream
        self.expected_duration = expected_duration
        self.processing_time = processing_time
        self.late_probability = late_probability
        self.cost = cost
        self.slowdown = slowdown
        self.queue_position = queue_position
        self.report_age = report_age
        self.displacement_cost = displacement_cost
        self.saturation_cost = saturation_cost

    def row(self) -> dict:
        """Return the inputs of the choice, for the log."""
        row = {
            "upstream": self.upstream.id,
            "cost": round(self.cost, 3),
            "expected_ms": round(self.expected_duration * 1000),
            "slowdown": round(self.slowdown, 2),
            "queue": self.queue_position,
            "age_ms": round(min(self.report_age, 999.0) * 1000, 1),
        }
        if self.displacement_cost:
            row["displaced"] = round(self.displacement_cost, 2)
        if self.saturation_cost:
            row["others"] = round(self.saturation_cost, 2)
        return row


def estimate_cost(call: CallRequirements, upstream: Upstream, now: float) -> CostEstimate:
    """Return what sending `call` to `upstream` now is likely to cost."""
    stats = upstream.stats
    report_age = now - stats.load_reported_at
    slowdown, queue_position = _slowdown_and_queue_position(upstream, report_age)
    processing_time = call.work * slowdown * stats.latency_ratio_at(now)
    if now < upstream.warm_at:
        processing_time *= COLD_START_FACTOR
    slots = max(1, upstream.record.slots)
    if slots > 1 and queue_position >= 0:
        processing_time *= SATURATED_FACTOR
    expected_duration = processing_time * (
        1.0 + REMAINING_WORK_SHARE * max(0, queue_position) / slots
    )
    late_probability = exceed_probability(expected_duration, call.time_to_target)
    failure_rate = stats.failure_rate(now)
    cost = failure_rate + (1.0 - failure_rate) * LATE_COST * late_probability
    cost += DURATION_COST * expected_duration / call.target_latency
    displacement_cost = 0.0
    if call.is_late:
        displacement_cost = (
            LATE_COST
            * call.overload_ratio
            * (1.0 - exceed_probability(expected_duration, call.target_latency))
        )
        cost += displacement_cost + EXPIRED_COST * exceed_probability(
            expected_duration, call.time_to_deadline
        )
    saturation_cost = cost_of_saturation(slots, queue_position, call.overload_ratio)
    cost += saturation_cost
    cost += OVERDUE_COST * stats.overdue_calls(now)
    if not upstream.is_local:
        cost += call.transfer_cost
    if not stats.healthy:
        cost += UNHEALTHY_COST
    if stats.is_unresponsive(now):
        cost += UNRESPONSIVE_COST
    return CostEstimate(
        upstream,
        expected_duration,
        processing_time,
        late_probability,
        cost,
        slowdown,
        queue_position,
        report_age,
        displacement_cost,
        saturation_cost,
    )


def cost_of_saturation(slots: int, queue_position: int, overload_ratio: float) -> float:
    """Return what taking the last free slot of an upstream, or waiting there, costs others.

    Load pattern: more calls than there are quiet places, for some seconds. An upstream with all
    slots taken is `FULL_FACTOR` times slower for all calls there, so each of the others takes
    `FULL_FACTOR - 1` of a call's work longer. With four slots that is work for 2.1 calls lost for
    one that is gained: filled up, the upstreams do less than with a slot left free, and stay full.
    What is lost is missed by as many calls as find no place: `crowding` of them.

    Limit: it never keeps a slot free that would serve more. With two slots the loss is 0.7 calls
    at most, less than the one gained, so both are used however crowded it is.
    """
    if slots < 2 or queue_position < 0:
        return 0.0
    lost_calls = (SATURATED_FACTOR - 1.0) * (slots - 1)
    return LATE_COST * lost_calls * max(MIN_OVERLOAD_WEIGHT, overload_ratio)


def exceed_probability(expected_duration: float, limit: float) -> float:
    """Return how likely a call that should take `expected` seconds ends after `limit`."""
    if limit <= 0.0:
        return 1.0
    distance = (log(max(expected_duration, 1e-6)) - log(limit)) / LOG_DURATION_SPREAD
    if distance > 30.0:
        return 1.0
    return 1.0 / (1.0 + exp(-distance * 1.7))


def _slowdown_and_queue_position(upstream: Upstream, report_age: float) -> tuple[float, int]:
    """Return the slowdown, and how many requests a new one would wait for.

    0 means that it gets the last free slot, a negative number that some slots stay free.
    """
    stats, slots = upstream.stats, max(1, upstream.record.slots)
    load = stats.load
    if load is None:
        return DEFAULT_SLOWDOWN, len(stats.open_calls) - slots + 1
    busy = load.running + load.waiting
    if report_age <= MAX_SLOWDOWN_AGE:
        return load.slowdown, busy + stats.sent_since_report - slots + 1
    return DEFAULT_SLOWDOWN, max(busy, len(stats.open_calls)) - slots + 1


def lacks_capacity(call: CallRequirements, best: CostEstimate) -> bool:
    """Return whether even the best upstream has no place for a call now.

    Only the calls before it would make it late: if it is sent all the same, those that come after
    it are late as well, and soon all are. A call that would be late anywhere takes no place from
    one that would not, so it may wait in a short queue. One that is late already, since its caller
    comes back, waits in no queue and leaves places to others while the service is crowded. One
    that would cost the calls there more than it gains has no place there either, nor one that
    would take a last place on a word so old that others have seen that place too.
    """
    if best.saturation_cost > 1.0 - LATE_COST * best.late_probability:
        return True
    if best.queue_position >= 0 and MAX_OCCUPANCY_AGE < best.report_age < NO_REPORT_AGE:
        return True
    if best.queue_position < 1:
        return best.displacement_cost > MAX_DISPLACEMENT_COST
    if best.queue_position > MAX_QUEUE_PER_SLOT * max(1, best.upstream.record.slots):
        return True
    if call.is_late:
        return True
    slow_without_queue = (
        exceed_probability(best.processing_time, call.time_to_target) > MAX_LATE_PROBABILITY
    )
    return best.late_probability > MAX_LATE_PROBABILITY and not slow_without_queue
