"""A running estimate of a quantile, in constant space."""

from __future__ import annotations


class Quantile:
    """Estimates a quantile of positive samples, so that one huge sample counts as any other.

    One sample moves the estimate by at most the step, a factor: a long one follows changes
    soon, a short one is less noisy.
    """

    def __init__(self, *, share: float, step: float) -> None:
        self._share = share
        self._step = step
        self._value = 0.0
        self._samples = 0

    @property
    def value(self) -> float:
        """Return the estimate; 0 before the first sample."""
        return self._value

    @property
    def samples(self) -> int:
        """Return how many samples were taken in."""
        return self._samples

    def add(self, sample: float) -> None:
        """Take a sample in."""
        self._samples += 1
        if self._value <= 0:
            self._value = sample
        elif sample > self._value:
            self._value *= 1 + self._step * self._share
        else:
            self._value *= 1 - self._step * (1 - self._share)
