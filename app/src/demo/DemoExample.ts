/**
 * The two installations that the demo can run, scaled down to one machine.
 */

/** What a demo declares and submits. */
export type DemoExample = Readonly<{
  region: string
  dataCentres: readonly string[]
  service: string
  /** Time that an endpoint takes for a request, in milliseconds. */
  serviceMs: number
  serviceTeam: string
  batchTeam: string
  watch: string
  /** Declared batch tasks with a long run time, each too large for a VM that runs an endpoint. */
  longTasks: readonly string[]
  /** Prefix of the submitted jobs' idempotency keys. */
  job: string
}>

/** Names of the examples. */
export const DEMO_NAMES = ['lanka', 'trentside'] as const

/** Name of an example. */
export type DemoName = typeof DEMO_NAMES[number]

/** The examples by name; `examples/` contains both in full size. */
export const DEMO_EXAMPLES: Readonly<Record<DemoName, DemoExample>> = {
  lanka: {
    region: 'lk-west',
    dataCentres: ['colombo', 'negombo', 'kalutara'],
    service: 'stockline',
    serviceMs: 5,
    serviceTeam: 'franchise',
    batchTeam: 'buyers',
    watch: 'cream-watch',
    longTasks: ['festival-orders'],
    job: 'order'
  },
  trentside: {
    region: 'midlands',
    dataCentres: ['derby', 'nottingham', 'leicester', 'burton'],
    service: 'wayleave-desk',
    serviceMs: 8,
    serviceTeam: 'desk',
    batchTeam: 'drafting',
    watch: 'route-watch-east',
    longTasks: ['agreement-drafts'],
    job: 'draft'
  }
}
