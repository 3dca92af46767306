"""Specifications of the protocols, small enough to be checked exhaustively."""
