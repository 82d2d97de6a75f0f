/**
 * `npm run bench`: runs the slopes behind docs/CAPACITY.md one after the other and prints what each prints.
 */
import { spawn } from 'node:child_process'
import { fileURLToPath } from 'node:url'

type Bench = Readonly<{ script: string, sizes: readonly string[] }>

/** Each script with its sizes; a script without sizes holds them itself. */
const BENCHES: readonly Bench[] = [
  { script: 'workerControl.ts', sizes: [''] },
  { script: 'cellOwner.ts', sizes: ['25', '50', '100', '200', '400'] },
  { script: 'jobOwner.ts', sizes: ['33', '100', '245'] },
  { script: 'clusterControl.ts', sizes: ['3', '9', '18', '30'] },
  { script: 'schedulerJournal.ts', sizes: [''] },
  { script: 'decisions.ts', sizes: [''] },
  { script: 'cellBalance.ts', sizes: [''] },
  { script: 'gatewayCost.ts', sizes: [''] },
  { script: 'gatewayRouting.ts', sizes: [''] }
]

const runOne = (script: string, size: string): Promise<number | null> => new Promise(resolve => {
  process.stdout.write(`# bench/${script} ${size}\n`)
  const file = fileURLToPath(new URL(script, import.meta.url))
  const child = spawn(process.execPath, ['--import', 'tsx', file, ...(size === '' ? [] : [size])], { stdio: 'inherit' })
  child.once('exit', resolve)
})

const only = process.argv[2]
for (const { script, sizes } of BENCHES) {
  if (only !== undefined && script !== only) continue
  for (const size of sizes) {
    const code = await runOne(script, size)
    if (code !== 0) process.exitCode = 1
  }
}
