"""The cloud's machine types with their prices, and which offerings have no capacity at present."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from passrock.core.job import Job
from passrock.core.model import MachineType
from passrock.core.objectives import ServiceLevelObjectives


class MachineOffering(msgspec.Struct, frozen=True):
    """The subject of one request to the cloud: a machine type in a zone, on-demand or spot."""

    machine_type: str
    zone: str
    spot: bool


class MachineCatalog(msgspec.Struct):
    """The cloud's offerings.

    Attributes:
        types: machine types by name, with current prices.
        unavailable_until: when an offering without capacity may be requested again.
    """

    types: dict[str, MachineType] = msgspec.field(default_factory=dict)
    unavailable_until: dict[MachineOffering, float] = msgspec.field(default_factory=dict)

    def price(self, offering: MachineOffering) -> float:
        """Return the current price per hour."""
        return self.types[offering.machine_type].price_for(spot=offering.spot)

    def offerings_for(self, job: Job, objectives: ServiceLevelObjectives, now: float) -> list[MachineOffering]:
        """Return the available offerings that the job's tasks may use, cheapest first.

        A job that may use spot instances gets on-demand machines only when it would miss its objectives
        otherwise: usually it can wait for capacity that is already paid for.
        """
        available = [
            offering
            for offering in self._allowed_offerings(job)
            if self.is_available(offering, now) and self._is_price_justified(offering, job, objectives, now)
        ]
        return sorted(available, key=lambda offering: (self.price(offering), offering.zone))

    def buffer_offering(
        self, free_gpus: dict[str, float], lost_zone: str | None, now: float
    ) -> MachineOffering | None:
        """Return the cheapest available on-demand offering with GPUs in the zone with the fewest free GPUs.

        ``free_gpus`` is by zone. ``lost_zone``, for whose loss the buffer is needed, is left out. Returns None when
        no such offering is available.
        """
        offerings = [
            MachineOffering(machine_type.name, zone, spot=False)
            for machine_type in self.types.values()
            for zone in machine_type.zones
            if machine_type.capacity.gpus > 0 and zone != lost_zone
        ]
        return min(
            (offering for offering in offerings if self.is_available(offering, now)),
            key=lambda offering: (free_gpus.get(offering.zone, 0.0), self.price(offering), offering.zone),
            default=None,
        )

    def is_available(self, offering: MachineOffering, now: float) -> bool:
        """Whether the offering may be requested: the cloud has not recently been without capacity for it."""
        return self.unavailable_until.get(offering, 0.0) <= now

    def mark_unavailable(self, offering: MachineOffering, until: float) -> None:
        """Record that the cloud has no capacity for the offering, which is not requested again before ``until``."""
        self.unavailable_until[offering] = until

    def _is_price_justified(
        self, offering: MachineOffering, job: Job, objectives: ServiceLevelObjectives, now: float
    ) -> bool:
        if offering.spot or not job.spec.allows_spot:
            return True
        return objectives.too_urgent_for_spot(job, self.types[offering.machine_type], now)

    def _allowed_offerings(self, job: Job) -> Iterator[MachineOffering]:
        for machine_type in self.types.values():
            if job.spec.resources.fits(machine_type.capacity):
                for zone in machine_type.zones:
                    for spot in (True, False):
                        if job.spec.allows(machine_type.name, zone, spot=spot):
                            yield MachineOffering(machine_type.name, zone, spot)
