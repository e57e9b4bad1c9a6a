#!/bin/sh
# Builds what the cases 6 to 10 start beside the gateways: nothing, as their stand-ins are Python
# files that use the standard library only. Fails if the Python at hand is too old for them.
exec python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
