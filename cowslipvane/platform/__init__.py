"""The adapter to the users' platform: its API, header fields and settings."""

from cowslipvane.platform._front_end import PlatformFrontEnd

__all__ = ["PlatformFrontEnd"]
