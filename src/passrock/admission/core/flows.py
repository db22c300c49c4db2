"""Flows, between which the capacity of admission is divided, and their weights."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from passrock.core.model import Team
from passrock.core.objectives import Objective

NO_GUARANTEE_RATIO = 0.25  # weight of a team without a guarantee, relative to the smallest guarantee
DEFAULT_WEIGHT = 1.0


class Flow(msgspec.Struct, frozen=True, order=True):
    """The submissions of one job class of one team."""

    team: str
    job_class: str


class Weights:
    """The weights of teams and of classes within a team, and which classes are interactive."""

    def __init__(
        self,
        teams: Mapping[str, Team],
        objectives: Iterable[Objective],
        team_weights: Mapping[str, float],
        class_weights: Mapping[str, float],
        interactive_ratio: float,
    ) -> None:
        self._team_weights = {**_guarantee_weights(teams), **team_weights}
        self._smallest_weight = min(self._team_weights.values(), default=DEFAULT_WEIGHT)
        self._class_weights = dict(class_weights)
        self._interactive_classes = interactive_classes(objectives, interactive_ratio)

    def of_team(self, name: str) -> float:
        """Return a team's weight; a team that the settings no longer name has the smallest of all weights."""
        return self._team_weights.get(name, self._smallest_weight)

    def of_class(self, name: str) -> float:
        """Return the weight of a class relative to the other classes of its team."""
        return self._class_weights.get(name, DEFAULT_WEIGHT)

    @property
    def any_interactive(self) -> bool:
        """Whether any class is interactive, so that capacity has to be reserved for interactive flows."""
        return bool(self._interactive_classes)

    def is_interactive(self, flow: Flow) -> bool:
        """Whether the flow's class is interactive: its users wait for their jobs to start."""
        return flow.job_class in self._interactive_classes


def _guarantee_weights(teams: Mapping[str, Team]) -> dict[str, float]:
    """Return weights in proportion to guarantees: of GPUs if any team has GPUs guaranteed, else of CPUs."""
    by_gpus = any(team.guaranteed_gpus > 0 for team in teams.values())
    amounts = {name: team.guaranteed_gpus if by_gpus else team.guaranteed_cpus for name, team in teams.items()}
    smallest = min((amount for amount in amounts.values() if amount > 0), default=None)
    if smallest is None:
        return dict.fromkeys(amounts, DEFAULT_WEIGHT)
    return {name: amount if amount > 0 else smallest * NO_GUARANTEE_RATIO for name, amount in amounts.items()}


def interactive_classes(objectives: Iterable[Objective], ratio: float) -> frozenset[str]:
    """Return the classes whose shortest waiting objective is at most ``ratio`` times the shortest of all."""
    shortest: dict[str, float] = {}
    for objective in objectives:
        if objective.kind == "wait" and objective.job_class:
            shortest[objective.job_class] = min(
                objective.within_s, shortest.get(objective.job_class, objective.within_s)
            )
    limit_s = ratio * min(shortest.values(), default=0.0)
    return frozenset(name for name, within_s in shortest.items() if within_s <= limit_s)
