export default {
  files: ['packages/*/tests/**/*.test.ts', 'app/tests/**/*.test.ts', 'soak/**/*.test.ts', 'platform/tests/**/*.test.ts'],
  extensions: { ts: 'module' },
  nodeArguments: ['--import=tsx'],
  // The loader of `tsx` does not reach worker threads.
  workerThreads: false,
  concurrency: 4,
  timeout: '2m'
}
