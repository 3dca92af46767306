"""The adapter to the users' platform: its API, header fields and settings."""
