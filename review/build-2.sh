#!/usr/bin/env bash
# Builds what the scripts of review/6 and later start besides the program of the deploy file: one bundle per script.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-2
for source in review/standins-2/case*.ts; do
  node_modules/.bin/esbuild "$source" --bundle --platform=node --target=node20 --format=cjs --log-level=warning \
    --outfile="target/review-2/$(basename "$source" .ts).cjs"
done
