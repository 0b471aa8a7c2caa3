"""Query tier over many shards."""
