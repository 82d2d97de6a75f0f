/**
 * Converts the output of `auburnpin replay --baselines` to a Markdown table, relative to the oracle and to best fit.
 * Usage: node --import tsx bench/decisionsTable.ts < summaries.jsonl
 */
import { readFileSync } from 'node:fs'
import type { Summary } from '@auburnpin/replay'

type Line = Summary & Readonly<{ trace: string, policy: string }>

const lines: Line[] = readFileSync(0, 'utf8').split('\n').filter(line => line !== '').map(line => JSON.parse(line) as Line)

const find = (trace: string, policy: string): Line => lines.find(line => line.trace === trace && line.policy === policy) as Line

const toRow = (line: Line): string => {
  const best = find(line.trace, 'best-fit')
  const cells = [
    line.trace, line.policy, line.ratioP50.toFixed(2), line.ratioP99.toFixed(2), line.ratioP999.toFixed(2), `${(100 * line.shareOverObjective).toFixed(2)}%`,
    line.tasksFinished, line.coresUseful.toFixed(0), `${(100 * line.coresUseful / best.coresUseful).toFixed(0)}%`,
    `${line.evictionsForServices}+${line.evictionsForUrgent}`, line.throttles, line.workLostCoreSeconds.toFixed(0),
    line.urgentStartP99Ms, line.quotaError, line.brokenInvariants
  ]
  return `| ${cells.join(' | ')} |`
}

console.log('| trace | policy | p50 | p99 | p99.9 | past objective | finished | useful cores | of best fit | evictions (service+urgent) | throttles | lost core s | urgent p99 ms | quota error | broken |')
console.log('|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|')
for (const line of lines) console.log(toRow(line))
