"""Entry points of the daemons and of the command-line tool."""
