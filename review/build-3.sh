#!/usr/bin/env bash
# Builds what the scripts of review/11 and later start, besides the daemon, which
# the build of deploy/system.toml makes: the stand-ins in review/kit-3 are plain
# JavaScript modules, so they are only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in kit-3/*.mjs 1[1-5]/*.mjs; do
  node --check "$file"
done
