"""Runs the daemon on the platform; the deploy file names this module.

It reads no command line, because the parser would add a tenth to the time
for which a restarted daemon is missed. It listens before it imports the rest,
so that callers who connect meanwhile wait a moment and are not turned away.
"""

import gc
import os
import sys

from hyssopwind.daemon.gateway import listening

# Where to listen, as in the settings; reading those would take a third of the
# start. The daemon listens after that where the variable is not set.
CALLERS_VARIABLE = "HYSSOPWIND_CALLERS_ADDRESS"


def main() -> int:
    """Listens, imports the daemon and runs it."""
    # Nothing that is imported becomes garbage; `starting` collects again.
    gc.disable()
    address = os.environ.get(CALLERS_VARIABLE, "")
    try:
        listener = listening.listen(address) if address else None
    except (OSError, ValueError) as error:
        print(f"hyssopwindd: {CALLERS_VARIABLE}: {error}", file=sys.stderr)
        return 1
    from hyssopwind.daemon.gateway import starting

    return starting.start(listener)


if __name__ == "__main__":
    sys.exit(main())
