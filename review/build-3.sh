#!/bin/sh
# The stand-ins of the cases 11 to 15 are Python programs that use the standard library only (review/standin-3), so there is nothing to
# compile: this checks their syntax. The program under test is the one that the deploy file's build makes.
cd "$(dirname "$0")/.." || exit 2
for file in review/standin-3/*.py review/1[1-5]/*.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])" "$file" || exit 2
done
test -x target/platform/bronzeswitch-platformd || { echo "target/platform/bronzeswitch-platformd is missing" >&2; exit 2; }
