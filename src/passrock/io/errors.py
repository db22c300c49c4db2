"""What can go wrong in a call to another service: one hierarchy, by what the caller may conclude.

ServiceError
├── NoAnswerError           transport: the request may have been carried out, or may yet be
│   └── NotSentError        transport: no byte of it was written
├── StoreError              the store didn't carry the call out
│   ├── StoreUnavailableError   it doesn't serve now
│   ├── RateLimitedError        over its rate
│   ├── UnexpectedAnswerError   an answer that the interface doesn't name
│   ├── UnknownOutcomeError     no answer: the call may have been carried out, or may yet be
│   ├── LeaseExpiredError       the lease has ended
│   └── CompactedError          the changes asked for are no longer kept
└── CloudError              no usable answer of the cloud
└── NoCapacityError     none available for this type, zone and kind of machine
"""

from __future__ import annotations

CALL_LIMIT = 120  # characters of a call in a message; a list's path holds a key


class ServiceError(Exception):
    """A call to another service that didn't succeed.

    Attributes:
        reason: What failed.
        call: Method and path, where they are known.
    """

    def __init__(self, reason: str, *, call: str | None = None) -> None:
        super().__init__(reason if call is None else f"{call[:CALL_LIMIT]}: {reason}")
        self.reason = reason
        self.call = call


class NoAnswerError(ServiceError):
    """No usable response; the request may have been carried out, or may yet be."""


class NotSentError(NoAnswerError):
    """No connection: the request was never written."""


class StoreError(ServiceError):
    """The key-value store did not carry the call out, unless this is an UnknownOutcomeError."""


class StoreUnavailableError(StoreError):
    """The store doesn't serve now."""


class RateLimitedError(StoreError):
    """The store refused the call because its rate was exceeded."""


class UnexpectedAnswerError(StoreError):
    """An answer with a status or a body that the interface doesn't name."""


class UnknownOutcomeError(StoreError):
    """No answer: the call may have been carried out, or may yet be."""


class LeaseExpiredError(StoreError):
    """The lease has ended."""


class CompactedError(StoreError):
    """The changes from the watch's start on are no longer kept."""


class CloudError(ServiceError):
    """No usable answer of the cloud."""


class NoCapacityError(CloudError):
    """No machine available for this type, zone and kind."""
