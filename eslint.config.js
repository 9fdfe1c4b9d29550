import neostandard from 'neostandard'

/** Folders that hold pure decisions: they may import no I/O, no timers and no platform clients. */
const decisionFolders = [
  'request', 'admission', 'upstream', 'membership', 'configuration', 'lease', 'capacity', 'report',
  'routing', 'quota', 'placement', 'usage', 'scaling', 'gossip', 'quarantine', 'rollout', 'backpressure',
  'dispatch-queue', 'queueing', 'paths', 'stream-origins', 'crash-causes'
]

/** Modules that perform I/O, or folders that do. */
const inputOutput = [
  'node:*', 'undici', 'restana', '@trpc/*', 'loglevel', 'cac', 'emittery', '@opentelemetry/*',
  '**/protocols/**', '**/platform/**', '**/caller/**', '**/operator/**', '**/peer/**', '**/entry/**', '**/planner/**', '**/bin/**', '**/stand-ins/**'
]

/** Names on the wire of the users' platform. */
const WIRE_NAMES = '/^(x-hornbeamgap-|kv-|api-key$|windowSeq$|fencingToken$|op\\/|servers\\/|status\\/)/i'

export default [
  ...neostandard({ ts: true, ignores: ['dist', 'target', 'node_modules'] }),
  {
    // A type and the schema or class beside it share their name.
    rules: { '@typescript-eslint/no-redeclare': 'off', 'no-redeclare': 'off' }
  },
  {
    files: decisionFolders.map((folder) => `src/${folder}/**/*.ts`),
    rules: {
      'no-restricted-imports': ['error', {
        patterns: [{ group: inputOutput, message: 'decisions are pure: no I/O in an aggregate' }]
      }],
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'setImmediate', 'fetch', 'performance', 'process'],
      'no-restricted-properties': ['error',
        { object: 'Date', property: 'now', message: 'time is passed in' },
        { object: 'Math', property: 'random', message: 'randomness is passed in' }]
    }
  },
  {
    // The adapter's names stay in the adapter: product code neither imports it nor spells them.
    files: ['src/**/*.ts'],
    ignores: ['src/bin/hornbeamgap-gateway.ts'],
    rules: {
      'no-restricted-syntax': ['error',
        { selector: `Literal[value=${WIRE_NAMES}]`, message: 'names of the wire belong to platform/' },
        { selector: 'ImportDeclaration[source.value=/(\\.\\.\\/)+platform\\//]', message: 'product code does not import the adapter' }]
    }
  },
  {
    // A gateway node shares clients with the product's own processes, and no part of those processes.
    files: ['src/gateway/**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', { patterns: [{ group: ['**/entry/**', '**/planner/**'], message: 'what both need belongs to protocols/ or an aggregate' }] }]
    }
  },
  {
    // The adapter translates: it may know interfaces and clients of the product, but none of its decisions.
    files: ['platform/**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', {
        patterns: [{
          group: [...decisionFolders.map((folder) => `**/src/${folder}/**`), '!**/src/*/index.js', '**/src/entry/**', '**/src/planner/**'],
          message: 'the adapter decides nothing'
        }]
      }]
    }
  }
]
