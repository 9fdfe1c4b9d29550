#!/bin/sh
# Builds the cases and the stand-ins that they start into target/review. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]*/case.ts; do
  number=$(basename "$(dirname "$case")")
  npx esbuild "$case" --bundle --platform=node --target=node20 --format=cjs --log-level=error --outfile="target/review/case-$number.cjs"
done
