"""The tasks: one for each connection and each peer, each written straight down."""
