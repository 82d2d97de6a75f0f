/**
 * `npm run bench [-- SCRIPT]`: runs the benchmarks behind docs/CAPACITY.md one after another, or only the given one.
 */
import { spawn } from 'node:child_process'
import { fileURLToPath } from 'node:url'

type Benchmark = Readonly<{ script: string, sizes: readonly string[] }>

/** The scripts and the sizes to run each with; scripts with an empty size define their sizes themselves. */
const BENCHMARKS: readonly Benchmark[] = [
  { script: 'workerControl.ts', sizes: [''] },
  { script: 'cellOwner.ts', sizes: ['25', '50', '100', '200', '400'] },
  { script: 'jobOwner.ts', sizes: ['33', '100', '245'] },
  { script: 'schedulingPass.ts', sizes: ['245', '380'] },
  { script: 'clusterControl.ts', sizes: ['3', '9', '18', '30'] },
  { script: 'schedulerJournal.ts', sizes: [''] },
  { script: 'decisions.ts', sizes: [''] },
  { script: 'speculativeCopies.ts', sizes: [''] },
  { script: 'cellBalance.ts', sizes: [''] },
  { script: 'rackPolicies.ts', sizes: [''] },
  { script: 'rackPassCost.ts', sizes: [''] },
  { script: 'gatewayCost.ts', sizes: [''] },
  { script: 'gatewayRouting.ts', sizes: [''] }
]

const runOne = (script: string, size: string): Promise<number | null> => new Promise(resolve => {
  process.stdout.write(`# bench/${script} ${size}\n`)
  const file = fileURLToPath(new URL(script, import.meta.url))
  const child = spawn(process.execPath, ['--import', 'tsx', file, ...(size === '' ? [] : [size])], { stdio: 'inherit' })
  child.once('exit', resolve)
})

const selectedScript = process.argv[2]
for (const { script, sizes } of BENCHMARKS) {
  if (selectedScript !== undefined && script !== selectedScript) continue
  for (const size of sizes) {
    const code = await runOne(script, size)
    if (code !== 0) process.exitCode = 1
  }
}
