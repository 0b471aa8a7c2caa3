"""Load and experiment tool over real daemons and stand-ins on loopback."""
