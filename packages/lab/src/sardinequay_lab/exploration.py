"""Exploring the core's decisions: random histories, and exhaustive small models.

A world holds several hosts' decisions, the messages between them and a clock. It says
which actions are possible; the explorer chooses. A world raises `Violation` as soon as
a promise is broken.
"""

import pickle
from collections import Counter, deque
from collections.abc import Callable, Hashable, Sequence
from contextlib import AbstractContextManager
from dataclasses import dataclass, field, fields, is_dataclass
from random import Random
from typing import Any, Protocol

Action = tuple[Hashable, ...]
"""The kind of an action, then what it acts on."""


class Violation(AssertionError):
    """A promise that was broken."""


class World(Protocol):
    """A small system whose every choice is an action."""

    def actions(self) -> Sequence[Action]:
        """Return what may happen now, in a fixed order."""

    def apply(self, action: Action) -> None:
        """Let one action happen; raises `Violation`."""

    def weight(self, action: Action) -> float:
        """Return how likely an action is beside the others, for random walks."""

    def reached(self) -> Counter[str]:
        """Return how often the situations came up that make a history worth it."""


def perform(world: World, action: Action) -> None:
    """Call the method of a world that is named for an action."""
    kind, *rest = action
    name = str(kind).replace(" ", "_").replace("-", "_")
    getattr(world, f"do_{name}")(*rest)


@dataclass(frozen=True, slots=True)
class Found:
    """A violation and the history that led to it."""

    seed: int
    message: str
    history: tuple[Action, ...]


@dataclass(slots=True)
class Explored:
    """What an exploration saw."""

    histories: int = 0
    steps: int = 0
    states: int = 0
    reached: Counter[str] = field(default_factory=Counter)
    found: Found | None = None
    complete: bool = True


def walk(
    make: Callable[[Random], World], seed: int, steps: int
) -> tuple[World, tuple[Action, ...]]:
    """Run one random history; raises `Violation`."""
    random = Random(seed)
    world = make(random)
    history: list[Action] = []
    for _ in range(steps):
        actions = world.actions()
        if not actions:
            break
        weights = [world.weight(action) for action in actions]
        action = random.choices(actions, weights)[0]
        history.append(action)
        try:
            world.apply(action)
        except Violation as error:
            error.args = (str(error), tuple(history))
            raise
    return world, tuple(history)


def explore(
    make: Callable[[Random], World], first_seed: int, histories: int, steps: int
) -> Explored:
    """Run random histories until one breaks a promise or all are done."""
    explored = Explored()
    for seed in range(first_seed, first_seed + histories):
        explored.histories += 1
        try:
            world, history = walk(make, seed, steps)
        except Violation as error:
            message, broken = error.args
            explored.found = Found(seed, message, broken)
            return explored
        explored.steps += len(history)
        explored.reached += world.reached()
    return explored


class ModelWorld(World, Protocol):
    """A world whose states can be told apart."""

    def fingerprint(self) -> Hashable:
        """Return what two states share exactly if they are alike."""


def freeze(value: Any) -> Hashable:
    """Return a hashable picture of nested state."""
    if isinstance(value, dict):
        return tuple(sorted((str(k), freeze(v)) for k, v in value.items()))
    if isinstance(value, list | tuple):
        return tuple(freeze(v) for v in value)
    if isinstance(value, set | frozenset):
        return tuple(sorted(str(v) for v in value))
    if is_dataclass(value) and not isinstance(value, type):
        return tuple(freeze(getattr(value, f.name)) for f in fields(value))
    return freeze(vars(value)) if hasattr(value, "__dict__") else str(value)


def search(
    make: Callable[[], ModelWorld], max_states: int, max_depth: int = 1_000
) -> Explored:
    """Visit all states of a small model, breadth first, up to a bound.

    A search that reaches the bound on states is not complete; one that is cut at the
    depth is complete up to it.
    """
    first = make()
    explored = Explored(histories=1)
    seen = {first.fingerprint()}
    queue: deque[tuple[ModelWorld, tuple[Action, ...]]] = deque([(first, ())])
    while queue:
        world, history = queue.popleft()
        explored.states += 1
        if len(history) >= max_depth:
            continue
        packed = pickle.dumps(world, pickle.HIGHEST_PROTOCOL)
        for action in world.actions():
            following = pickle.loads(packed)
            explored.steps += 1
            try:
                following.apply(action)
            except Violation as error:
                explored.found = Found(0, str(error), (*history, action))
                return explored
            mark = following.fingerprint()
            if mark not in seen:
                if len(seen) >= max_states:
                    explored.complete = False
                    return explored
                seen.add(mark)
                queue.append((following, (*history, action)))
    return explored


Mutations = dict[str, Callable[[], AbstractContextManager[object]]]


@dataclass(frozen=True, slots=True)
class Subject:
    """Something to explore, and the guards whose removal must be found."""

    make: Callable[[Random], World]
    steps: int
    mutations: Mutations
