"""The token bucket and the adaptive concurrency limiter."""

import pytest

from passrock.core.concurrency_limiter import AdaptiveConcurrencyLimiter
from passrock.core.token_bucket import TokenBucket


def test_limiter_adapts_to_latencies():
    limiter = AdaptiveConcurrencyLimiter(initial=4, minimum=2, maximum=64, slack_s=0.01)
    assert [limiter.try_acquire() for _ in range(5)] == [True] * 4 + [False]
    for _ in range(4):
        limiter.release(0.01, failed=False)
    for _ in range(400):
        while limiter.try_acquire():
            pass
        while limiter.in_progress:
            limiter.release(0.01, failed=False)
    assert limiter.limit == 64
    for _ in range(200):
        limiter.try_acquire()
        limiter.release(1.0, failed=False)
    assert limiter.limit == 2
    assert 1 <= limiter.retry_after_s() <= 30


def test_token_bucket_delays_requests_beyond_the_rate():
    bucket = TokenBucket(10.0, 5.0)
    waits = [bucket.reserve(0.0, 1) for _ in range(8)]
    assert waits[:5] == [0.0] * 5
    assert waits[5:] == pytest.approx([0.1, 0.2, 0.3])
    assert bucket.reserve(10.0, 1) == 0.0
