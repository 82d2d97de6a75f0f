/**
 * The two installations that the demo can show, small enough for one machine.
 */

/** What a demo declares and asks for. */
export type DemoExample = Readonly<{
  region: string
  dataCentres: readonly string[]
  service: string
  /** How long an endpoint works on a request, in milliseconds. */
  serviceMs: number
  serviceTeam: string
  batchTeam: string
  watch: string
  /** Long batch tasks, declared; each fills a VM that runs no endpoint. */
  longTasks: readonly string[]
  /** What a submitted job is called. */
  job: string
}>

/** Names of the examples. */
export const DEMO_NAMES = ['lanka', 'trentside'] as const

/** One of the examples. */
export type DemoName = typeof DEMO_NAMES[number]

/** The examples by name; `examples/` holds both in their real size. */
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
