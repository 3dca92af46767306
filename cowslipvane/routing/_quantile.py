"""Streaming estimation of a quantile in constant space."""

from __future__ import annotations


class Quantile:
    """Estimate a quantile of positive samples, robust against outliers.

    quantile is between 0 and 1; 0.5 estimates the median. step bounds the relative change of the
    estimate by one sample, however large the sample is. With a larger step, the estimate follows
    changes sooner; with a smaller one, it is less noisy.
    """

    def __init__(self, *, quantile: float, step: float) -> None:
        self._quantile = quantile
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
            self._value *= 1 + self._step * self._quantile
        else:
            self._value *= 1 - self._step * (1 - self._quantile)
