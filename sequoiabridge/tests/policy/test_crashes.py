"""Crash detection: harmful requests are blocked, harmless ones are not, and trials unblock."""

from random import Random

from ...policy.crashes import CRASH_RETENTION_SECONDS, TRIAL_DELAY_SECONDS, CrashLedger

UPSTREAMS = 12


def test_two_crashes_block_a_request_and_a_release_outlasts_older_reports():
    ledger = CrashLedger()
    assert ledger.record_crash("bad", "u1", "vm1", 100.0, 1.0)
    assert not ledger.record_crash("bad", "u1", "vm2", 100.3, 1.1)
    assert not ledger.is_blocked("bad", 1.2)
    ledger.record_crash("bad", "u2", "vm2", 103.0, 4.0)
    assert ledger.is_blocked("bad", 4.1) and ledger.list_suspects(4.1)[0].upstreams == ["u1", "u2"]
    assert ledger.release("bad", 110.0)
    assert not ledger.record_crash("bad", "u3", "vm3", 104.0, 12.0)
    assert not ledger.is_blocked("bad", 12.1)


def test_a_crash_expires_and_an_answer_clears_the_request():
    ledger = CrashLedger()
    for i, name in enumerate(("u1", "u2")):
        ledger.record_crash("bad", name, "vm1", 100.0 + 5 * i, 5.0 * i)
        ledger.record_crash("good", name, "vm1", 100.0 + 5 * i, 5.0 * i)
    assert not ledger.is_blocked("bad", 6.0)
    ledger.record_answer("good", 106.0)
    ledger.record_crash("bad", "u3", "vm1", 112.0, 12.0)
    assert ledger.is_blocked("bad", 13.0) and not ledger.is_blocked("good", 13.0)
    assert not ledger.is_blocked("bad", 13.0 + CRASH_RETENTION_SECONDS)
    assert ledger.list_suspects(13.0 + CRASH_RETENTION_SECONDS) == []


def test_simultaneous_crashes_of_the_whole_pool_block_no_request():
    ledger, random = CrashLedger(), Random(1)
    for wave in range(2):
        for upstream in range(UPSTREAMS):
            for _ in range(2):
                retried = f"r{random.randrange(2 * UPSTREAMS)}"
                ledger.record_crash(retried, f"u{upstream}", "vm", 100.0 + 3 * wave, 3.0 * wave)
    assert not ledger.blocked_fingerprints


def record_random_crash(ledger, random, harmful, now):
    """Crash one upstream with `harmful` (if not None) and 0 to 3 other requests in flight."""
    upstream = f"u{random.randrange(UPSTREAMS)}"
    others = [f"r{random.randrange(40)}" for _ in range(random.randrange(4))]
    for fingerprint in others + ([harmful] if harmful else []):
        ledger.record_crash(fingerprint, upstream, f"vm{random.randrange(18)}", now, now)


def simulate(seed):
    """Let a harmful request crash four upstreams among random crashes.

    Return whether it is blocked after 2 and after 4 crashes, and how many harmless requests are
    blocked and suspected.
    """
    ledger, random = CrashLedger(), Random(seed)
    after = []
    now = 1000.0
    for _ in range(4):
        record_random_crash(ledger, random, "poison", now)
        if random.random() < 0.3:
            record_random_crash(ledger, random, None, now + 4.0)
        after.append("poison" in ledger.blocked_fingerprints)
        now += 9.0
    return (
        after[1],
        after[3],
        len(ledger.blocked_fingerprints - {"poison"}),
        len(ledger.by_fingerprint) - 1,
    )


def test_few_harmful_requests_are_missed_and_few_harmless_ones_blocked():
    runs = [simulate(seed) for seed in range(300)]
    missed = sum(not four for _, four, _, _ in runs) / len(runs)
    blocked_harmless = sum(r[2] for r in runs) / sum(r[3] for r in runs)
    at_two = sum(two for two, _, _, _ in runs) / len(runs)
    print(
        f"blocked at 2: {at_two:.3f}, missed at 4: {missed:.3f}, harmless: {blocked_harmless:.4f}"
    )
    assert missed <= 0.05
    assert blocked_harmless <= 0.005
    assert at_two >= 0.5


def blocked_by_two():
    ledger = CrashLedger()
    for i, name in enumerate(("u1", "u2")):
        ledger.record_crash("page", name, "vm1", 100.0 + 0.3 * i, 0.3 * i)
    assert ledger.is_blocked("page", 1.0)
    return ledger


def test_a_blocked_request_gets_a_trial_after_a_delay_and_its_answer_unblocks_it():
    ledger = blocked_by_two()
    assert not ledger.take_trial("page", TRIAL_DELAY_SECONDS)
    assert ledger.take_trial("page", TRIAL_DELAY_SECONDS + 0.4)
    assert not ledger.take_trial("page", TRIAL_DELAY_SECONDS + 0.5)
    ledger.record_answer("page", 107.0)
    assert not ledger.is_blocked("page", TRIAL_DELAY_SECONDS + 1.0)


def test_a_crash_in_a_trial_doubles_the_delay_of_the_next_trial():
    ledger = blocked_by_two()
    assert ledger.take_trial("page", 6.0)
    ledger.record_crash("page", "u3", "vm1", 106.1, 6.1)
    assert ledger.is_blocked("page", 7.0)
    assert not ledger.take_trial("page", 6.1 + 2 * TRIAL_DELAY_SECONDS - 0.1)
    assert ledger.take_trial("page", 6.1 + 2 * TRIAL_DELAY_SECONDS + 0.1)
