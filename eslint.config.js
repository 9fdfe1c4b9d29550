import neostandard from 'neostandard'

/** Folders that hold pure decisions: they may import no I/O, no timers and no platform clients. */
const decisionFolders = [
  'request', 'admission', 'upstream', 'membership', 'configuration', 'lease', 'capacity', 'report',
  'routing', 'quota', 'placement', 'usage', 'scaling', 'gossip', 'quarantine'
]

/** Modules that perform I/O, or folders that do. */
const inputOutput = [
  'node:*', 'undici', 'restana', '@trpc/*', 'loglevel', 'cac', 'emittery', '@opentelemetry/*',
  '**/protocols/**', '**/platform/**', '**/caller/**', '**/operator/**', '**/peer/**', '**/entry/**', '**/planner/**', '**/bin/**', '**/stand-ins/**'
]

export default [
  ...neostandard({ ts: true, ignores: ['dist', 'node_modules'] }),
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
  }
]
