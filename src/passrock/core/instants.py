"""Points on the monotonic clock, in seconds, as the decisions compare them."""

from __future__ import annotations

import math
from typing import Final

NEVER: Final = -math.inf  # a time before every other: the thing it dates has not happened
