#!/bin/sh
# The stand-ins of review/11 to review/15 are Python programs that use the standard library only:
# there is nothing to build. Checks that they can be compiled.
cd "$(dirname "$0")/.." || exit 2
for file in review/parts_3/*.py review/12/*.py review/14/*.py; do
    python3 -B -c "import ast, sys; ast.parse(open(sys.argv[1], encoding='utf-8').read())" "$file" || exit 1
done
