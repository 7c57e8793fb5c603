"""Estimates what sending a call to an upstream costs, and whether the upstream has capacity for it.

Costs are relative to the value of an answer in time, which is 1. No I/O; time is an argument.
"""

from __future__ import annotations

from math import exp, log

from .upstream import Upstream

LATE_COST = 0.9
"""Cost of a late answer, which is worth a tenth of one in time."""

EXPIRED_COST = 1.0
"""Cost of a late call whose deadline passes before the upstream answers. It is more than any slot
is worth to other calls, so such a call is rather refused at once."""

MAX_DISPLACEMENT_COST = 0.45
"""Maximum displacement cost at which a call that is late already takes a free slot. Without this
bound, late calls took a fifth of the slots on an overloaded day: 5,002 of 9,306 reads were in time,
5,935 with it (one run each)."""

LOG_DURATION_SPREAD = 0.25
"""Scale of the distribution of the logarithm of a call's duration around its expected value. Work
times spread by 0.3, and reports are some milliseconds old."""

COLD_START_FACTOR = 2.0
"""Slowdown of an upstream that has just started."""

REMAINING_WORK_SHARE = 0.67
"""Mean share of its work that a running request still has to do. More than half, since long
requests are more likely to be running."""

UNHEALTHY_COST = 0.25
"""Cost of an upstream that reports itself unhealthy. The report may be wrong, so the upstream is
not excluded."""

OVERDUE_COST = 0.2
"""Cost per overdue open call at an upstream, which may have become unresponsive."""

UNRESPONSIVE_COST = 0.5
"""Cost of an upstream that did not answer the latest probe."""

SATURATED_FACTOR = 1.7
"""Slowdown of an upstream of which all slots are taken. Some upstreams slow down when they are
nearly full; 1.7 was seen where it shows."""

MIN_OVERLOAD_WEIGHT = 0.15
"""Lower bound on the overload ratio when computing the saturation cost. The calls at a full
upstream may also meet a neighbour and be late where capacity is not scarce."""

DEFAULT_SLOWDOWN = 2.5
"""Slowdown assumed of an upstream without a recent load report. It is the mean over time where
neighbours slow an upstream sevenfold for a quarter of it."""

MAX_LATE_PROBABILITY = 0.2
"""Maximum probability of being late at which a call is sent into a queue. With 0.7, 0.4, 0.2 and
0.05, an overloaded day earned 0.352, 0.389, 0.416 and 0.403 (one run each)."""

MAX_QUEUE_PER_SLOT = 2
"""Maximum number of queued requests per slot of an upstream. Upstreams have room for 2 to 4 and may
reset the connection of one more, which leaves open whether that request ran."""

MAX_SLOWDOWN_AGE = 0.5
"""Maximum age in seconds of a load report of which the slowdown is used. Neighbours change twice a
second."""

MAX_OCCUPANCY_AGE = 0.1
"""Maximum age in seconds of a load report on which a call takes the last free slot or queues. By
then, other VMs may have taken the same slot. In a fleet of 101 VMs, calls sent on older reports
took 2.0 s where 0.56 s was expected; without them a day with bursts earned 0.652, before 0.566 (one
run each)."""

NO_REPORT_AGE = float("inf")
"""Report age of an upstream that has not sent a load report."""

DURATION_COST = 0.05
"""Cost of an expected duration equal to the target latency. Decides between upstreams that would
all answer in time."""


class CallRequirements:
    """The properties of a call that determine its cost.

    Attributes:
        work: Processing time in seconds on an upstream that is not slowed down.
        time_to_target: Seconds until the answer is late; negative if it is late already.
        target_latency: Seconds from arrival within which an answer is in time.
        transfer_cost: Cost of transferring the call and its answer between data centres.
        time_to_deadline: Seconds until the deadline of the call.
        overload_ratio: Share of recent new calls of the service that found no capacity at once.
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
        """Return whether the answer is late already."""
        return self.time_to_target <= 0.0


class CostEstimate:
    """The estimated cost of sending a call to an upstream.

    Attributes:
        upstream: The upstream.
        expected_duration: Expected duration of the call in seconds.
        processing_time: Expected duration in seconds without time in the queue.
        late_probability: Probability that the answer is late.
        cost: Total expected cost.
        slowdown: Slowdown of the upstream.
        queue_position: Position of the call in the upstream's queue; 0 if it takes the last free
            slot, negative if other slots stay free.
        report_age: Seconds since the latest load report of the upstream.
        displacement_cost: Cost of taking the slot from another call that would be in time, if this
            call is late already.
        saturation_cost: Cost to the calls at the upstream of taking its last slot.
        permit_at: Time at which a permit to send the call there was requested, None without one.
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
        "permit_at",
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
        self.permit_at: float | None = None

    def row(self) -> dict:
        """Return the estimate as a log row."""
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
    """Estimate the cost of sending `call` to `upstream` at the time `now`."""
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
    """Return the cost to other calls of taking an upstream's last free slot, or of queueing there.

    An upstream of which all slots are taken is `SATURATED_FACTOR` times slower for all its calls,
    so each other call takes longer by `SATURATED_FACTOR - 1` of its work. With many slots, more
    work is lost than gained by using the last one. The loss is weighted with the overload ratio,
    the share of calls that lack that capacity.

    With two slots, the loss is always smaller than the gain, so both slots are used.
    """
    if slots < 2 or queue_position < 0:
        return 0.0
    lost_calls = (SATURATED_FACTOR - 1.0) * (slots - 1)
    return LATE_COST * lost_calls * max(MIN_OVERLOAD_WEIGHT, overload_ratio)


def exceed_probability(expected_duration: float, limit: float) -> float:
    """Return the probability that a call takes longer than `limit` seconds."""
    if limit <= 0.0:
        return 1.0
    distance = (log(max(expected_duration, 1e-6)) - log(limit)) / LOG_DURATION_SPREAD
    if distance > 30.0:
        return 1.0
    return 1.0 / (1.0 + exp(-distance * 1.7))


def _slowdown_and_queue_position(upstream: Upstream, report_age: float) -> tuple[float, int]:
    """Return the slowdown of an upstream and the position that a new call would have in its queue.

    The position is 0 if the call takes the last free slot, negative if other slots stay free.
    """
    stats, slots = upstream.stats, max(1, upstream.record.slots)
    load = stats.load
    if load is None:
        return DEFAULT_SLOWDOWN, len(stats.open_calls) - slots + 1
    busy = load.running + load.waiting
    if report_age <= MAX_SLOWDOWN_AGE:
        return load.slowdown, busy + stats.sent_since_report - slots + 1
    return DEFAULT_SLOWDOWN, max(busy, len(stats.open_calls)) - slots + 1


def may_lack_room(estimate: CostEstimate) -> bool:
    """Return whether an upstream may have no room for a call, whatever the call gains.

    Its queue is full, or the call would take the last slot or queue, and the load report is too old
    for that.
    """
    if estimate.queue_position >= 0 and MAX_OCCUPANCY_AGE < estimate.report_age < NO_REPORT_AGE:
        return True
    slots = max(1, estimate.upstream.record.slots)
    return estimate.queue_position > MAX_QUEUE_PER_SLOT * slots


def lacks_capacity(call: CallRequirements, best: CostEstimate) -> bool:
    """Return whether even the best upstream lacks capacity for a call.

    This is the case if one of the following holds:

    - taking the last slot, or queueing, would delay the calls that already run at that upstream at
      a higher cost than this call gains;
    - the upstream may have no room for it;
    - a free slot is left, but the call is late already and other calls need the slot more;
    - the call would queue although it is late already;
    - the time in the queue, and not the processing time alone, would make the call late.
    """
    if best.saturation_cost > 1.0 - LATE_COST * best.late_probability:
        return True
    if may_lack_room(best):
        return True
    if best.queue_position < 1:
        return best.displacement_cost > MAX_DISPLACEMENT_COST
    if call.is_late:
        return True
    slow_without_queue = (
        exceed_probability(best.processing_time, call.time_to_target) > MAX_LATE_PROBABILITY
    )
    return best.late_probability > MAX_LATE_PROBABILITY and not slow_without_queue
