"""Tests of cowslipvane."""
