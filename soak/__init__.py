"""A randomized soak of entry hosts as processes, with faults from outside."""
