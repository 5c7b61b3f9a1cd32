"""Stand in for what surrounds a node: platform, servers, a whole mesh."""
