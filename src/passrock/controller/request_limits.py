"""Limits on the users' concurrent requests, with separate limiters for reads and writes."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import Any

from passrock.controller.job_lookup import UnavailableError
from passrock.core.concurrency_limiter import AdaptiveConcurrencyLimiter
from passrock.io.clock import monotonic_time
from passrock.io.errors import StoreError
from passrock.io.http_server import Response
from passrock.logs import debug
from passrock.settings import Settings
from passrock.wire import users as wire

INITIAL_CONCURRENT_REQUESTS = 32  # the limit before any latency has been measured
MIN_CONCURRENT_REQUESTS = 4

Work = Coroutine[Any, Any, Response]


def make_request_limiter(settings: Settings, slack_s: float) -> AdaptiveConcurrencyLimiter:
    """Return a limiter for one kind of request; up to ``slack_s`` above the lowest latency indicates no queue."""
    maximum = max(MIN_CONCURRENT_REQUESTS * 2, settings.fd_limit // 2)
    return AdaptiveConcurrencyLimiter(INITIAL_CONCURRENT_REQUESTS, MIN_CONCURRENT_REQUESTS, maximum, slack_s)


def refuse(limiter: AdaptiveConcurrencyLimiter, status: int) -> Response:
    """Return an immediate refusal, with the time after which to retry."""
    return Response(status, wire.error_answer("busy, come back later"), retry_after=limiter.retry_after_s())


def run_limited(limiter: AdaptiveConcurrencyLimiter, work: Work) -> Response | Work:
    """Return the work under a limiter, or a refusal when too many requests are in progress."""
    if not limiter.try_acquire():
        work.close()
        return refuse(limiter, 429)
    return run_measured(limiter, work)


async def run_measured(limiter: AdaptiveConcurrencyLimiter, work: Work) -> Response:
    """Run work that has acquired the limiter, and report its latency to the limiter."""
    started_at = monotonic_time()
    failed = True
    try:
        response = await work
        failed = response.status >= 500
        return response
    except (StoreError, UnavailableError) as exc:
        debug("user_request_unavailable", error=exc)
        return refuse(limiter, 503)
    finally:
        limiter.release(monotonic_time() - started_at, failed=failed)
