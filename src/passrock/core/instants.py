"""Points on the monotonic clock, in seconds, as the decisions compare them."""

from __future__ import annotations

import math
from typing import Final

NEVER: Final = -math.inf  # before every other time: the event has not happened
