"""Streaming estimation of a quantile in constant space."""

from __future__ import annotations


class Quantile:
    """Estimate a quantile of positive samples, robust against outliers.

    Each sample changes the estimate by at most step, relative to its value, however large the
    sample is. A larger step follows changes sooner, and a smaller one is less noisy.
    """

    def __init__(self, *, share: float, step: float) -> None:
        self._share = share
        self._step = step
        self._value = 0.0
        self._samples = 0

    @property
    def value(self) -> float:
        """Return the estimate, or 0 before the first sample."""
        return self._value

    @property
    def samples(self) -> int:
        """Return the number of samples."""
        return self._samples

    def add(self, sample: float) -> None:
        """Update the estimate with a sample."""
        self._samples += 1
        if self._value <= 0:
            self._value = sample
        elif sample > self._value:
            self._value *= 1 + self._step * self._share
        else:
            self._value *= 1 - self._step * (1 - self._share)
