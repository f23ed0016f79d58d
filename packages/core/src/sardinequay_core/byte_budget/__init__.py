"""What connections hold in memory, which of them to cut, and what targets cut off."""

from .answer_reading import AnswerReading
from .cuts import Cut, CutReason, Holding, choose_bodies_to_give_up, choose_cuts

__all__ = [
    "AnswerReading",
    "Cut",
    "CutReason",
    "Holding",
    "choose_bodies_to_give_up",
    "choose_cuts",
]
