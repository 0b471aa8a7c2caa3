"""Controllers: update the node state and return actions for each event."""
