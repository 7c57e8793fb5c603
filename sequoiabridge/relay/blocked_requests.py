"""Keeps requests that crash upstreams from all upstreams, at all VMs.

Each VM tells some random peers now and then which requests are blocked, so that one that missed
the crashes learns of the block. The platform's table tells a fleet whose daemons have all ended.
"""

from __future__ import annotations

from enum import Enum
from random import Random

import curio

from ..balancing.send_policy import RequestBlocks
from ..balancing.upstream import Upstream
from ..component import Component
from ..exceptions import Refusal, StoreUnavailable
from ..outcome import Outcome, Reason
from ..policy.crash_records import Block
from ..policy.crashes import CrashLedger
from ..timers import Clock
from .block_table import BlockTable, StoredBlock, StoredCrash
from .block_trials import BlockTrials
from .call import RelayedCall
from .decisions import DecisionLog
from .hello import Hello
from .messages import CrashWithdrawn, Message, RequestBlocked, RequestSurvived, RequestUnblocked
from .sharing import Sharing

TELL_INTERVAL = 1.0
"""Seconds between two times at which peers are told of blocks."""

TOLD_PEERS = 3
"""Number of peers that are told at a time."""

NEW_BLOCK_SECONDS = 30.0
"""Seconds for which a block is new."""

OLD_BLOCK_ROUNDS = 10
"""Peers are told of a block that is not new only each time after so many others."""

MAX_TOLD_BLOCKS = 100
"""Maximum number of blocks of which a daemon that has just started is told."""

STORING_PEERS = 3
"""Mean number of VMs that store a block for which they know the evidence but have seen no crash."""

SAVE_INTERVAL = 0.25
"""Seconds between two times at which changes are written to the table."""

SAVE_RETRY_DELAY = 1.0
"""Seconds until changes are written again after the store did not answer."""

MIN_STORED_CRASHES = 2
"""Number of upstreams that must have crashed with a request before that is stored; most suspects
have crashed none."""

STORE = "store"
"""Names the store as the source of a crash or a block."""

LOAD_RETRY_DELAY = 0.5
"""Seconds until the table is read again after the store did not answer."""


class Change(Enum):
    """What is to be written of a request."""

    SUSPECTED = "suspected"
    BLOCKED = "blocked"
    WITHDRAWN = "withdrawn"
    CLEARED = "cleared"


class BlockedRequests(RequestBlocks, Component):
    """Refuses calls with blocked requests, but for trials, and spreads and stores the blocks.

    Args:
        ledger: Knows the blocks.

    Attributes:
        withheld: Number of calls that were not sent, or not again.
        unsaved: What is to be written to the table, by request.
        next_save_at: Time before which nothing is written to the table.
        rounds: Number of times that peers were told of blocks.
    """

    name = "blocked_requests"

    def __init__(
        self,
        ledger: CrashLedger,
        table: BlockTable,
        sharing: Sharing,
        decisions: DecisionLog,
        clock: Clock,
        random: Random,
    ):
        self.ledger = ledger
        self.table = table
        self.trials = BlockTrials(table, decisions, clock)
        self.sharing = sharing
        self.decisions = decisions
        self.clock = clock
        self.random = random
        self.withheld = 0
        self.unsaved: dict[str, Change] = {}
        self.next_save_at = float("-inf")
        self.rounds = 0
        sharing.on_block = self.handle_block
        sharing.on_unblock = self.handle_unblock

    def refusal(self, call: RelayedCall) -> Refusal | None:
        """Return the refusal of a call whose request is blocked, None if it may be sent."""
        block = self._block(call)
        if block is None or (call.is_trial and not call.possible_runs):
            return None
        if call.possible_runs:
            message = "Upstreams died each time they ran this request, which may have run."
            return Refusal(502, Outcome.UNKNOWN, Reason.CRASHES_UPSTREAMS, message)
        message = "Upstreams died each time they ran this request. It is not sent to more of them."
        retry_after = self.trials.retry_after(block)
        return Refusal(503, Outcome.NOT_RUN, Reason.CRASHES_UPSTREAMS, message, retry_after)

    def begin_call(self, call: RelayedCall) -> None:
        """Let a call be prepared as a trial if its request is blocked and a trial is due."""
        block = self._block(call)
        if block is not None:
            call.is_trial = self.trials.may_begin(block)

    async def confirm(self, call: RelayedCall, upstream: Upstream) -> None:
        """Take the trial for a call that is about to be sent as one.

        No trial is taken at an upstream that does not answer this VM: it would prove nothing.
        """
        block = self._block(call) if call.is_trial else None
        if block is None:
            return
        if upstream.stats.is_unresponsive(self.clock.now()):
            call.is_trial = False
            return
        call.is_trial = await self.trials.take(call.fingerprint, block)

    def record_withheld(self, call: RelayedCall) -> None:
        """Count a call that was refused because its request is blocked."""
        self.withheld += 1
        block = self.ledger.blocks.get(call.fingerprint)
        if block is not None:
            block.withheld += 1

    def blocked_here(self, fingerprint: str) -> None:
        """Log a request that this VM has just blocked, and store it soon."""
        self.unsaved[fingerprint] = Change.BLOCKED
        self._log_block(fingerprint, "crashes")

    def suspected_here(self, fingerprint: str) -> None:
        """Store the crashes of a request of which this VM has seen one, if there are several."""
        crashes = self.ledger.by_fingerprint.get(fingerprint, ())
        if len({crash.upstream for crash in crashes}) >= MIN_STORED_CRASHES:
            self.unsaved[fingerprint] = Change.SUSPECTED

    def cleared_here(self, fingerprint: str) -> None:
        """Remove what is stored of a request that this VM saw answered."""
        self.unsaved[fingerprint] = Change.CLEARED

    def withdrawn_here(self, fingerprint: str) -> None:
        """Remove a crash that this VM has withdrawn, and the block that has ended, if any."""
        self.unsaved[fingerprint] = Change.WITHDRAWN

    def blocked_by_peers(self, fingerprint: str) -> None:
        """Log a request that crashes at other VMs have blocked.

        Those VMs may not know of each other's crashes, so that some others store the block too.
        """
        self._log_block(fingerprint, "crashes-at-peers")
        if self.random.random() * self.sharing.peer_count < STORING_PEERS:
            self.unsaved[fingerprint] = Change.BLOCKED

    def ended(self, fingerprint: str, block: Block, was_seen_here: bool) -> None:
        """Log the end of a block; remove it from the table if this VM saw why it ends."""
        if was_seen_here:
            self.unsaved[fingerprint] = Change.CLEARED
        self.decisions.event(
            "request-unblocked",
            fingerprint=fingerprint,
            seconds=round(self.clock.now() - block.learned_at, 1),
            trials=block.trials,
            withheld=block.withheld,
        )

    def handle_block(self, message: RequestBlocked) -> None:
        """Block a request of which a peer says that it is blocked, unless it was answered since."""
        now = self.clock.now()
        name = message.fingerprint
        if self.ledger.record_block(name, now - message.age, now):
            self._log_block(name, "peer")
        block = self.ledger.blocks.get(name)
        if block is not None:
            block.record_trials(message.trials, now - message.trial_age)
            return
        # The peer has missed why the block ended.
        if message.reply_to:
            for reason in self._reasons_unblocked(name):
                self.sharing.channel.send(reason, [message.reply_to])

    def handle_unblock(self, message: RequestUnblocked) -> None:
        """End a block of which a peer says that it has ended."""
        block = self.ledger.unblock(message.fingerprint, self.clock.now() - message.age)
        if block is not None:
            self.ended(message.fingerprint, block, False)

    def tell_new_daemon(self, hello: Hello) -> None:
        """Tell a daemon that has just started which requests are blocked."""
        for fingerprint in list(self.ledger.blocks)[:MAX_TOLD_BLOCKS]:
            self.sharing.channel.send(self._message(fingerprint), [hello.address])

    def tell_some_peers(self) -> None:
        """Tell random peers which requests are blocked; called periodically."""
        self.rounds += 1
        is_turn_of_old = self.rounds % OLD_BLOCK_ROUNDS == 0
        newest_old = self.clock.now() - NEW_BLOCK_SECONDS
        for fingerprint, block in list(self.ledger.blocks.items()):
            if is_turn_of_old or block.learned_at > newest_old:
                self.sharing.send_to_some(self._message(fingerprint), TOLD_PEERS, self.random)

    async def save(self) -> None:
        """Write changes to the table; called periodically. Changes that fail remain unsaved."""
        if self.clock.now() < self.next_save_at:
            return
        # No other call begins while the store does not answer.
        self.next_save_at = float("inf")
        delay = SAVE_RETRY_DELAY
        try:
            delay = await self._save_all()
        finally:
            self.next_save_at = self.clock.now() + delay

    async def _save_all(self) -> float:
        """Write all changes, or up to the first that fails; return the seconds until the next."""
        for fingerprint, change in list(self.unsaved.items()):
            try:
                await self._save(fingerprint, change)
            except StoreUnavailable as error:
                self.decisions.event("block-not-saved", fingerprint=fingerprint, why=str(error))
                return SAVE_RETRY_DELAY
            if self.unsaved.get(fingerprint) is change:
                del self.unsaved[fingerprint]
        return 0.0

    async def _save(self, fingerprint: str, change: Change) -> None:
        now = self.clock.now()
        if change is Change.CLEARED:
            await self.table.remove(fingerprint)
            return
        block = self.ledger.blocks.get(fingerprint)
        withdrawn = self.ledger.withdrawn_upstreams(fingerprint)
        if withdrawn:
            has_ended = block is None and fingerprint in self.ledger.unblocked_at
            ends_block = change is Change.WITHDRAWN and has_ended
            await self.table.withdraw_crashes(fingerprint, withdrawn, ends_block)
        if change is Change.BLOCKED and block is not None:
            await self.table.add(fingerprint, now - block.at)
        answered_age = self.ledger.answered_age(fingerprint, now)
        crashes = [
            StoredCrash(fingerprint, one.upstream, now - one.at, answered_age)
            for one in self.ledger.by_fingerprint.get(fingerprint, ())
        ]
        await self.table.add_crashes(crashes)

    async def load(self) -> None:
        """Read the table; retry until the store answers."""
        while True:
            try:
                stored = await self.table.load()
            except StoreUnavailable as error:
                self.decisions.event("blocks-not-loaded", why=str(error))
                await curio.sleep(LOAD_RETRY_DELAY)
                continue
            for entry in stored:
                self._record_stored(entry)
            return

    def _record_stored(self, entry: StoredBlock | StoredCrash) -> None:
        now, name = self.clock.now(), entry.fingerprint
        at = now - entry.age
        if isinstance(entry, StoredCrash):
            if entry.answered_age is not None:
                self.ledger.remember_answer(name, now - entry.answered_age)
            if self.ledger.record_crash(name, entry.upstream, STORE, at, now):
                self.decisions.event(
                    "request-crashed",
                    fingerprint=name,
                    upstream=entry.upstream,
                    seen_by=STORE,
                    stopped=name in self.ledger.blocks,
                )
        elif self.ledger.record_block(name, at, now):
            self.ledger.blocks[name].record_trials(entry.trials, now - entry.trial_age)
            self._log_block(name, STORE)

    def dump(self) -> dict:
        """Describe suspected and blocked requests for the state dump."""
        ledger, now = self.ledger, self.clock.now()
        return {
            fingerprint: {
                "upstreams": sorted(
                    {crash.upstream for crash in ledger.by_fingerprint.get(fingerprint, ())}
                ),
                "evidence": ledger.evidence(fingerprint),
                "blocked": describe(ledger.blocks.get(fingerprint), now),
            }
            for fingerprint in {**ledger.by_fingerprint, **ledger.blocks}
        }

    def _block(self, call: RelayedCall) -> Block | None:
        if not self.ledger.blocks:
            return None
        if not self.ledger.is_blocked(call.fingerprint, self.clock.now()):
            return None
        return self.ledger.blocks[call.fingerprint]

    def _reasons_unblocked(self, name: str) -> list[Message]:
        """Return messages that tell why a request is not blocked any more."""
        ledger, now = self.ledger, self.clock.now()
        messages: list[Message] = []
        if name in ledger.answered_at:
            messages.append(RequestSurvived(name, now - ledger.answered_at[name]))
        for upstream, withdrawal in ledger.withdrawn_upstreams(name).items():
            messages.append(CrashWithdrawn(upstream, now - withdrawal.until))
        if name in ledger.unblocked_at:
            messages.append(RequestUnblocked(name, now - ledger.unblocked_at[name]))
        return messages

    def _message(self, fingerprint: str) -> RequestBlocked:
        block = self.ledger.blocks[fingerprint]
        now = self.clock.now()
        age, trial_age = max(0.0, now - block.at), block.trial_age(now)
        own_address = self.sharing.own_address
        return RequestBlocked(fingerprint, age, block.trials, own_address, trial_age)

    def _log_block(self, fingerprint: str, told_by: str) -> None:
        self.decisions.event("request-blocked", fingerprint=fingerprint, told_by=told_by)


def describe(block: Block | None, now: float) -> dict | None:
    """Return a block's state for the state dump, None without a block."""
    if block is None:
        return None
    return {
        "seconds": round(now - block.learned_at, 1),
        "trials": block.trials,
        "withheld": block.withheld,
    }
