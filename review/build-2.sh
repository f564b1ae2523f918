#!/usr/bin/env bash
# The stand-ins of the scripts in review/6 to review/10 are plain modules for Node:
# nothing has to be built. Checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib-2/*.mjs {6,7,8,9,10}/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
