/**
 * `npm run soak -- --seed N --minutes M [--shrink]`: runs random histories of about M virtual minutes in total.
 */
import fc from 'fast-check'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { runHistory, type HistoryReport } from './runHistory.ts'
import { soakSteps } from './steps.ts'

const MAX_STEPS = 40
const MINUTES_PER_HISTORY = 4

const options = yargs(hideBin(process.argv))
  .option('seed', { type: 'number', default: 1 })
  .option('minutes', { type: 'number', default: 60, describe: 'Virtual minutes' })
  .option('shrink', { type: 'boolean', default: false, describe: 'After a failure look for the shortest history that fails too' })
  .strict()
  .parseSync()

const reports: HistoryReport[] = []

const property = fc.asyncProperty(soakSteps(MAX_STEPS), async steps => {
  const report = await runHistory(options.seed, steps)
  reports.push(report)
  const [violation] = report.violations
  if (violation !== undefined) throw new Error(`${violation.invariant}: ${violation.detail}`)
})

const startedAt = performance.now()
const numRuns = Math.max(1, Math.ceil(options.minutes / MINUTES_PER_HISTORY))
const outcome = await fc.check(property, { seed: options.seed, numRuns, endOnFailure: !options.shrink })

const faults: Record<string, number> = {}
for (const report of reports) {
  for (const [kind, count] of Object.entries(report.faults)) faults[kind] = (faults[kind] ?? 0) + count
}
const sumOf = (pick: (report: HistoryReport) => number): number => reports.reduce((sum, report) => sum + pick(report), 0)

process.stdout.write(`${JSON.stringify({
  seed: options.seed,
  histories: reports.length,
  virtualHours: Number((sumOf(report => report.virtualSeconds) / 3_600).toFixed(2)),
  realSeconds: Math.round((performance.now() - startedAt) / 1_000),
  jobsAccepted: sumOf(report => report.jobsAccepted),
  jobsFinished: sumOf(report => report.jobsFinished),
  notesAccepted: sumOf(report => report.notesAccepted),
  faults,
  violations: sumOf(report => report.violations.length),
  isFailed: outcome.failed
})}\n`)
if (outcome.failed) {
  process.stdout.write(`${fc.defaultReportMessage(outcome) ?? ''}\n`)
  process.exitCode = 1
}
