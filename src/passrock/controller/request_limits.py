"""Limits on the users' requests in progress: one for reads, one for writes."""

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

INITIAL_IN_PROGRESS = 32  # requests, before any time has been measured
MINIMUM_IN_PROGRESS = 4

Work = Coroutine[Any, Any, Response]


def request_limiter(settings: Settings, slack_s: float) -> AdaptiveConcurrencyLimiter:
    """A limiter for one kind of requests; up to ``slack_s`` above the best latency is no sign of a queue."""
    maximum = max(MINIMUM_IN_PROGRESS * 2, settings.fd_limit // 2)
    return AdaptiveConcurrencyLimiter(INITIAL_IN_PROGRESS, MINIMUM_IN_PROGRESS, maximum, slack_s)


def refuse(limiter: AdaptiveConcurrencyLimiter, status: int) -> Response:
    """An immediate refusal, with the time after which to retry."""
    return Response(status, wire.error_answer("busy, come back later"), retry_after=limiter.retry_after_s())


def limited(limiter: AdaptiveConcurrencyLimiter, work: Work) -> Response | Work:
    """The work under a limiter, or a refusal when too much is in progress."""
    if not limiter.try_acquire():
        work.close()
        return refuse(limiter, 429)
    return measured(limiter, work)


async def measured(limiter: AdaptiveConcurrencyLimiter, work: Work) -> Response:
    """Carry out work that has entered the limiter, and report its latency to the limiter."""
    started = monotonic_time()
    failed = True
    try:
        response = await work
        failed = response.status >= 500
        return response
    except (StoreError, UnavailableError) as problem:
        debug("user_request_unavailable", error=problem)
        return refuse(limiter, 503)
    finally:
        limiter.release(monotonic_time() - started, failed=failed)
