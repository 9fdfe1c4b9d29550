#!/bin/sh
# Builds the gateway node into target/: one file, and the code cache of it. A start is service lost, so what a start
# need not load or compile is left out; each substitute says what it saves.
set -e
[ node_modules -nt package-lock.json ] || npm ci --silent --ignore-scripts
substitutes='--alias:undici=./deploy/substitutes/undici.cjs --alias:node:http2=./deploy/substitutes/http2.cjs --alias:node:assert=./deploy/substitutes/assert.cjs'
options='--bundle --platform=node --target=node20 --format=cjs --log-level=error'
npx esbuild src/bin/hornbeamgap-gateway.ts $options --minify --keep-names $substitutes --outfile=target/hornbeamgap-gateway.cjs
npx esbuild stand-ins/machines/rehearsal.ts $options --outfile=target/rehearsal.cjs
node --max-old-space-size=158 --liftoff-only deploy/make-code-cache.cjs
