#!/bin/sh
# The stand-ins are Python 3 with its standard library only: nothing is compiled but for a check.
cd "$(dirname "$0")" || exit 1
for file in standin/*.py [0-9]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
