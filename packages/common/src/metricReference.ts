/**
 * Every metric in one table; docs/METRICS.md is made from it.
 */

/** What a metric is and when it asks for attention. */
export type MetricNote = Readonly<{
  type: 'count' | 'gauge' | 'timing'
  unit: string
  /** Names of its tags, beside `member`, which each carries. */
  tags: readonly string[]
  meaning: string
  worry: string
}>

const define = <Name extends string>(notes: Readonly<Record<Name, MetricNote>>): Readonly<Record<Name, MetricNote>> => notes

/** The one table of metrics, by name without the prefix `auburnpin.`. */
export const METRICS = define({
  'requests.answered': { type: 'count', unit: 'requests', tags: ['service'], meaning: 'Requests whose answer came from an endpoint.', worry: 'Falls while callers still come.' },
  'requests.refused': { type: 'count', unit: 'requests', tags: ['service'], meaning: 'Requests that no endpoint answered, told as not-run or unknown.', worry: 'Above 1 % of answered for five minutes.' },
  'requests.duration': { type: 'timing', unit: 'milliseconds', tags: ['service'], meaning: 'From the arrival of a request to the end of its answer, of those answered; the tail latency of the service.', worry: '99th percentile above the service\'s objectiveMs.' },
  'tasks.started': { type: 'count', unit: 'attempts', tags: ['cell'], meaning: 'Attempts that were assigned to a VM.', worry: 'Far above tasks.finished: attempts fail or are moved.' },
  'tasks.finished': { type: 'count', unit: 'tasks', tags: ['cell'], meaning: 'Tasks that finished; the batch throughput.', worry: 'Zero while the queue is not empty.' },
  'tasks.evicted': { type: 'count', unit: 'attempts', tags: ['cell', 'reason'], meaning: 'Attempts stopped to run again elsewhere, by reason.', worry: 'Steady evictions on the same cell.' },
  'queue.length': { type: 'gauge', unit: 'tasks', tags: ['cell'], meaning: 'Tasks that wait for a VM.', worry: 'Rises for an hour.' },
  'queue.age': { type: 'gauge', unit: 'seconds', tags: ['cell'], meaning: 'Age of the submitted job that has waited longest.', worry: 'Above the time in which the team expects its work.' },
  'table.writes': { type: 'count', unit: 'transactions', tags: ['class'], meaning: 'Transactions sent to the table service, the write budget in use.', worry: 'The sum over all members nears the platform\'s rate.' },
  'table.reads': { type: 'count', unit: 'reads', tags: ['class'], meaning: 'Reads and lists sent to the table service.', worry: 'The sum over all members nears the platform\'s rate.' },
  'lease.age': { type: 'gauge', unit: 'milliseconds', tags: [], meaning: 'Time since this member last renewed its own lease.', worry: 'Above 6000: the lease lapses at 9000.' },
  'config.version': { type: 'gauge', unit: 'version', tags: [], meaning: 'Version of the configuration in force here.', worry: 'Members differ for more than 5 seconds.' },
  'config.lag': { type: 'timing', unit: 'milliseconds', tags: [], meaning: 'From the acceptance of a version to its being in force here, by wall clocks.', worry: 'Above 5000.' },
  'invariants.broken': { type: 'gauge', unit: 'breaches', tags: [], meaning: 'Promises that would have been broken since the start; each action was refused.', worry: 'Any. Report it with the log.' }
})
