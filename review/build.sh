#!/usr/bin/env bash
# The stand-ins are plain JavaScript: this only checks that they can be loaded with what the build of the deploy file installed.
set -eu
cd "$(dirname "$0")"
for file in standins/*.mjs [0-9]*/case.mjs; do node --check "$file"; done
node --input-type=module -e "await import('./standins/Installation.mjs')"
