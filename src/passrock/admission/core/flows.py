"""Flows, which share the capacity of admission, and their weights."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from passrock.core.model import Team
from passrock.core.objectives import Objective

NO_GUARANTEE_RATIO = 0.25  # of the smallest guarantee: the weight of a team without any
DEFAULT_WEIGHT = 1.0


class Flow(msgspec.Struct, frozen=True, order=True):
    """The submissions of one class of a team."""

    team: str
    job_class: str


class Weights:
    """What a team's and a class's part is in proportion to, and which classes are interactive."""

    def __init__(
        self,
        teams: Mapping[str, Team],
        objectives: Iterable[Objective],
        team_weights: Mapping[str, float],
        class_weights: Mapping[str, float],
        interactive_ratio: float,
    ) -> None:
        self._teams = {**_guarantees(teams), **team_weights}
        self._smallest_weight = min(self._teams.values(), default=DEFAULT_WEIGHT)
        self._classes = dict(class_weights)
        self._interactive = interactive_classes(objectives, interactive_ratio)

    def team(self, name: str) -> float:
        """A team's weight; one that the settings no longer name counts like the smallest."""
        return self._teams.get(name, self._smallest_weight)

    def job_class(self, name: str) -> float:
        """The weight of a class among those of its team."""
        return self._classes.get(name, DEFAULT_WEIGHT)

    @property
    def any_interactive(self) -> bool:
        """Whether any class is interactive, so that a reserve for them makes sense."""
        return bool(self._interactive)

    def is_interactive(self, flow: Flow) -> bool:
        """Whether the flow's users wait for its jobs to begin."""
        return flow.job_class in self._interactive


def _guarantees(teams: Mapping[str, Team]) -> dict[str, float]:
    """Teams by guarantee: GPUs where any team has some guaranteed, CPUs otherwise."""
    by_gpus = any(team.guaranteed_gpus > 0 for team in teams.values())
    amounts = {name: team.guaranteed_gpus if by_gpus else team.guaranteed_cpus for name, team in teams.items()}
    smallest = min((amount for amount in amounts.values() if amount > 0), default=None)
    if smallest is None:
        return dict.fromkeys(amounts, DEFAULT_WEIGHT)
    return {name: amount if amount > 0 else smallest * NO_GUARANTEE_RATIO for name, amount in amounts.items()}


def interactive_classes(objectives: Iterable[Objective], ratio: float) -> frozenset[str]:
    """The classes whose shortest objective on waiting is up to ``ratio`` times the shortest of all."""
    shortest: dict[str, float] = {}
    for objective in objectives:
        if objective.kind == "wait" and objective.job_class:
            shortest[objective.job_class] = min(
                objective.within_s, shortest.get(objective.job_class, objective.within_s)
            )
    longest = ratio * min(shortest.values(), default=0.0)
    return frozenset(name for name, within in shortest.items() if within <= longest)
