"""Runs the daemon on the platform; the deploy file names this module.

It reads no command line, because the parser would add a tenth to the time
for which a restarted daemon is missed. It listens before it imports the rest,
so that callers who connect meanwhile wait a moment and are not turned away.
"""

import os
import sys

from hyssopwind.daemon.gateway import listening
from hyssopwind.platform import boot

# All connections on the platform are plain. aiohttp would otherwise read all
# certificate authorities as it is imported, a fifth of the start.
os.environ["SSL_CERT_FILE"] = os.devnull
os.environ["SSL_CERT_DIR"] = os.devnull


def main() -> int:
    """Listens, imports the daemon and runs it."""
    try:
        options = boot.load()
        listener = listening.listen(options.callers_address)
    except (boot.BootError, OSError) as error:
        print(f"hyssopwindd: {error}", file=sys.stderr)
        return 1
    from hyssopwind.daemon.gateway import starting

    return starting.start(options, listener)


if __name__ == "__main__":
    sys.exit(main())
