"""Lets blocked requests run now and then, so that a wrong block ends soon.

A trial is one send of one call, without a retry or a hedge. All VMs together take few trials: one
harmful request crashes one upstream in each.
"""

from __future__ import annotations

from ..exceptions import StoreUnavailable
from ..policy.crash_records import Block
from ..policy.crashes import CRASH_RETENTION_SECONDS
from ..timers import Clock
from .block_table import BlockTable
from .decisions import DecisionLog

TRIAL_DELAYS = (1.0, 10.0, 60.0)
"""Seconds before each trial, from the block or the trial before it. The first comes while callers
of a harmless request still wait; more would crash too many upstreams."""

STORE_RETRY_DELAY = 1.0
"""Seconds until a VM prepares another trial after one was not sent."""

TRIAL_SECONDS = 0.5
"""Seconds in the Retry-After header while a trial is under way."""

MAX_RETRY_AFTER = 60.0
"""Maximum seconds in the Retry-After header of a blocked request."""


class BlockTrials:
    """Decides when a blocked request may run as a trial, and takes the trial for the fleet.

    Attributes:
        taken: Number of trials that this VM took.
    """

    def __init__(self, table: BlockTable, decisions: DecisionLog, clock: Clock):
        self.table = table
        self.decisions = decisions
        self.clock = clock
        self.taken = 0

    def seconds_until_due(self, block: Block) -> float:
        """Return the seconds until the next trial; until the end of the block if none is left."""
        now = self.clock.now()
        if block.trials >= len(TRIAL_DELAYS):
            return max(0.0, block.learned_at + CRASH_RETENTION_SECONDS - now)
        since = block.learned_at if block.last_trial_at is None else block.last_trial_at
        return max(0.0, since + TRIAL_DELAYS[block.trials] - now)

    def retry_after(self, block: Block) -> float:
        """Return the seconds after which a caller may find the request unblocked."""
        return min(MAX_RETRY_AFTER, self.seconds_until_due(block) + TRIAL_SECONDS)

    def may_begin(self, block: Block) -> bool:
        """Return whether a call may be prepared as a trial; if so, no other one for some time."""
        if self.clock.now() < block.not_before or not self._is_due(block):
            return False
        block.not_before = self.clock.now() + STORE_RETRY_DELAY
        return True

    async def take(self, fingerprint: str, block: Block) -> bool:
        """Return whether a call that is about to be sent is the fleet's next trial."""
        if not self._is_due(block):
            return False  # This VM has heard of another one meanwhile.
        try:
            is_taken, count = await self.table.take_trial(fingerprint, block.trials)
        except StoreUnavailable as error:
            self.decisions.event("trial-not-taken", fingerprint=fingerprint, why=str(error))
            return False
        if count != block.trials:
            block.trials, block.last_trial_at = count, self.clock.now()
        if is_taken:
            self.taken += 1
            self.decisions.event("trial", fingerprint=fingerprint, number=count)
        return is_taken

    def _is_due(self, block: Block) -> bool:
        return block.trials < len(TRIAL_DELAYS) and self.seconds_until_due(block) <= 0.0
