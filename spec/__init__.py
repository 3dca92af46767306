"""Specifications of the protocols, small enough for exhaustive model checking."""
