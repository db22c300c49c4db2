"""The outcome of one slot, as it is written to the decision log."""

from __future__ import annotations

import msgspec


class FlowOutcome(msgspec.Struct, frozen=True):
    """The outcome of one flow in one slot."""

    team: str
    job_class: str
    wanted: int  # demand when the slot was allocated
    granted: int
    admitted: int
    refused: int  # refusals, as the controllers last reported them
    started: int  # tasks started since the previous slot's outcome was recorded
    waiting_jobs: int
    waited_s: float  # how long the flow had had no start when the outcome was recorded
    obstacle: str  # value of Obstacle: why its waiting jobs were not started; empty if none were waiting


class Decision(msgspec.Struct, frozen=True):
    """The outcome of one slot."""

    slot: int
    at: float  # wall-clock time at which the slot began
    term: int
    leader: str
    capacity: int
    flows: tuple[FlowOutcome, ...]
