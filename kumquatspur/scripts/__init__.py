"""Entry points of the daemon and of the command-line tool."""
