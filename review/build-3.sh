#!/bin/sh
# Checks the stand-ins of review/11 and later, which are plain JavaScript for Node.js and need no compilation.
set -e
cd "$(dirname "$0")"
for file in standins-3/*.mjs 1[1-5]/*.mjs; do node --check "$file"; done
