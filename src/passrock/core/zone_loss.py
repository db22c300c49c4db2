"""The loss of a zone: how much capacity production tasks would lack after it."""

from __future__ import annotations

from typing import NamedTuple


class ZoneLoss(NamedTuple):
    """The loss of a zone, and how many GPUs production tasks would lack after it."""

    zone: str | None
    shortfall: float


NO_SHORTFALL = ZoneLoss(None, 0.0)


def worst_zone_loss(production: dict[str, float], available: dict[str, float], zones: tuple[str, ...]) -> ZoneLoss:
    """Return the loss of the zone after which production tasks would lack the most GPUs.

    Both mappings are by zone: ``production`` has the GPUs of production tasks, ``available`` those that are idle or
    used by tasks that can be preempted. All teams lose a zone at the same time, so all reservations are evaluated
    together. Capacity in the zone itself is lost with it.
    """
    if len(zones) < 2:
        return NO_SHORTFALL
    total = sum(available.values())
    losses = [ZoneLoss(zone, production.get(zone, 0.0) - (total - available.get(zone, 0.0))) for zone in zones]
    worst = max(losses, key=lambda loss: loss.shortfall)
    return worst if worst.shortfall > 0 else NO_SHORTFALL


def zone_loss_shortfall(production: dict[str, float], available: dict[str, float], zones: tuple[str, ...]) -> float:
    """Return how many GPUs production tasks would lack after the worst loss of a zone."""
    return worst_zone_loss(production, available, zones).shortfall
