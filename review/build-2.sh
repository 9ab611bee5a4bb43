#!/usr/bin/env bash
# The stand-ins of cases 6 to 10 need the standard library only: this checks that they compile.
set -eu
cd "$(dirname "$0")"
for file in parts_2/*.py [6-9]/*.py 10/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
