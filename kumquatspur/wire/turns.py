"""Turns of green threads that read from peers, or accept their connections.

Load pattern: a read waits only if the peer has sent nothing yet. A peer whose
bytes or connections are always ready would otherwise keep all other green
threads from running, for as long as it goes on.
"""

import eventlet


def give_turn() -> None:
    """Lets the other green threads run; called before each further read.

    Where a read follows a wait, the others have had their turn.
    """
    eventlet.sleep(0)
