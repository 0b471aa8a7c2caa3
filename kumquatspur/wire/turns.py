"""Turns of green threads that read from peers.

Load pattern: a read waits only if the peer has sent nothing yet. A peer whose
bytes are always ready would otherwise keep all other green threads from
running, for as long as it goes on.
"""

import eventlet


def give_turn() -> None:
    """Lets the other green threads run; called before each further read."""
    eventlet.sleep(0)
