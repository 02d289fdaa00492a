"""Runs the daemon on the platform; the deploy file names this module.

It has no command line, because the import of a parser would lengthen the
downtime of a restart by a tenth. It listens before it imports the rest, so that
callers who connect during the start wait and are not refused.
"""

import gc
import os
import signal
import sys

# Names the address for callers as in the settings, whose parsing takes a third
# of the start. Without the variable the daemon listens after parsing them.
CALLERS_ADDRESS_VARIABLE = "HYSSOPWIND_CALLERS_ADDRESS"


def main() -> int:
    """Listens, imports the daemon and runs it."""
    # The settings are read later than this, and the default action would end
    # the process. The event loop replaces this disposition.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imported objects do not become garbage; `starting` enables collection.
    gc.disable()
    from hyssopwind.daemon.gateway import listening

    address = os.environ.get(CALLERS_ADDRESS_VARIABLE, "")
    try:
        listener = listening.listen(address) if address else None
    except (OSError, ValueError) as error:
        print(
            f"hyssopwindd: {CALLERS_ADDRESS_VARIABLE}: {error}", file=sys.stderr
        )
        return 1
    from hyssopwind.daemon.gateway import starting

    return starting.start(listener)


if __name__ == "__main__":
    sys.exit(main())
