"""What became of one slot, as the decision log keeps it."""

from __future__ import annotations

import msgspec


class FlowOutcome(msgspec.Struct, frozen=True):
    """One flow in one slot."""

    team: str
    job_class: str
    wanted: int  # asked for when the slot was allocated
    granted: int
    admitted: int
    refused: int  # answers that refused, as the controllers last reported
    started: int  # tasks started while this slot's outcome was gathered
    waiting_jobs: int
    waited_s: float  # without a start, at the end of the slot
    obstacle: str  # what kept its waiting jobs from a start; empty when none wait


class Decision(msgspec.Struct, frozen=True):
    """One slot with its flows."""

    slot: int
    at: float  # time of day at which the slot began
    term: int
    leader: str
    capacity: int
    flows: tuple[FlowOutcome, ...]
