#!/bin/sh
# Builds the scripts of the second review, with the stand-ins that they start, into target/review/. Run it after the build of the
# deploy file; it needs no network.
set -e
cd "$(dirname "$0")/.."
for number in 4 5 6; do
  [ -f "review/$number/case.ts" ] || continue
  npx esbuild "review/$number/case.ts" --bundle --platform=node --target=node20 --format=cjs --log-level=error --outfile="target/review/second-$number.cjs"
done
