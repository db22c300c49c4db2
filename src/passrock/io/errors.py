"""Errors of calls to other services, classified by what the caller may conclude.

ServiceError
├── NoAnswerError               transport: the request may have been carried out, or may yet be
│   └── NotSentError            transport: no byte of the request was written
├── StoreError                  the store did not carry out the call
│   ├── StoreUnavailableError   the store is unavailable
│   ├── RateLimitedError        the store's rate limit was exceeded
│   ├── UnexpectedAnswerError   the interface does not define the answer
│   ├── UnknownOutcomeError     no answer: the call may have been carried out, or may yet be
│   ├── LeaseExpiredError       the lease has expired
│   └── CompactedError          the requested changes are no longer kept
└── CloudError                  the cloud gave no usable answer
    └── NoCapacityError         no machine is available for this type, zone and kind
"""

from __future__ import annotations

MAX_CALL_CHARS = 120  # of a call in a message: the path of a list request contains a key


class ServiceError(Exception):
    """A call to another service failed.

    Attributes:
        reason: what failed.
        call: method and path, where they are known.
    """

    def __init__(self, reason: str, *, call: str | None = None) -> None:
        super().__init__(reason if call is None else f"{call[:MAX_CALL_CHARS]}: {reason}")
        self.reason = reason
        self.call = call


class NoAnswerError(ServiceError):
    """There was no usable response; the request may have been carried out, or may yet be."""


class NotSentError(NoAnswerError):
    """There was no connection, so the request was never written."""


class StoreError(ServiceError):
    """The key-value store did not carry out the call, unless this is an UnknownOutcomeError."""


class StoreUnavailableError(StoreError):
    """The store is unavailable."""


class RateLimitedError(StoreError):
    """The store refused the call because its rate limit was exceeded."""


class UnexpectedAnswerError(StoreError):
    """The answer has a status or a body that the interface does not define."""


class UnknownOutcomeError(StoreError):
    """There was no answer; the call may have been carried out, or may yet be."""


class LeaseExpiredError(StoreError):
    """The lease has expired."""


class CompactedError(StoreError):
    """The store no longer keeps the changes since the revision at which the watch starts."""


class CloudError(ServiceError):
    """The cloud gave no usable answer."""


class NoCapacityError(CloudError):
    """No machine is available for this type, zone and kind."""
