"""Special times of the monotonic clock, in seconds."""

from __future__ import annotations

import math
from typing import Final

NEVER: Final = -math.inf  # earlier than every other time: the event has not occurred
