#!/bin/sh
# The stand-ins of the cases are plain JavaScript modules for Node.js: nothing
# has to be compiled. This checks that each of them can be parsed.
set -e
cd "$(dirname "$0")"
for file in *.mjs [0-9]*/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file"
done
