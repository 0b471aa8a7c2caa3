"""Controllers: react to events by updating the blackboard."""
