#!/usr/bin/env bash
# Builds what the scripts start besides the build of the deploy file: the stand-ins are Python of the standard library, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
test -x ../target/platform/bronzeswitch-platformd
for file in lib/*.py [1-5]/*.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
echo "review: the stand-ins are ready"
