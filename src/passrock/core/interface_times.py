"""Times and clock bounds that the interfaces of workers and cloud fix for every deployment."""

from __future__ import annotations

# Allowed between the lengths of a lease by two clocks, each of which may be up to 0.05 % fast or slow.
CLOCK_DRIFT_RATIO = 1.002
# A worker waits this long for an answer before it contacts another controller.
WORKER_REQUEST_TIMEOUT_S = 4.0
# The cloud charges a deleted machine for at least this long.
MINIMUM_CHARGE_S = 60.0
