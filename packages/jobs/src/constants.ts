/** Constants of job scheduling's shell; each with its unit and where it comes from. */

/** Cells of jobs; one owner carries a deployment of some hundred workers. */
export const CELL = 'cell-0'

/** Parts of the table of jobs, since a part takes its transactions one after another, and a slow store takes long for each. */
export const JOB_PARTS = 16

/** A term is renewed at least this often, in milliseconds: three tries within its length. */
export const TERM_RENEWAL_MS = 500

/** How long a term lasts after a renewal was sent, in milliseconds. */
export const TERM_MS = 1_600

/** A term counts as over for others after so many milliseconds without a renewal: its length, and two late timers. */
export const TERM_OVER_MS = 2_100

/** How often others look at the term, in milliseconds. */
export const TERM_WATCH_MS = 500

/** A worker's lease, in milliseconds: outlasts a take-over, and ends before the longest late order. */
export const WORKER_LEASE_MS = 4_500

/** How long a report may wait for a run to end, in milliseconds; several fit into a lease. */
export const REPORT_WAIT_MS = 1_500

/** The same where serving tasks run, in milliseconds; a reading covers 500 ms. */
export const TAIL_REPORT_WAIT_MS = 600

/** Least time between two reports of one worker, in milliseconds; lets several ends share one call. */
export const REPORT_GAP_MS = 25

/** Time between reports while ends can't be made durable, in milliseconds. */
export const UNSETTLED_REPORT_MS = 200

/** Time after a failed report before the next try, in milliseconds. */
export const REPORT_RETRY_MS = 250

/** How long a table's feed may wait for a change, in milliseconds. */
export const FEED_WAIT_MS = 1_000

/** Time after a failed feed before the next try, in milliseconds. */
export const FEED_RETRY_MS = 150

/** Time between two passes of the scheduler when nothing happens, in milliseconds. */
export const TICK_MS = 100

/** Most rows that one transaction changes; the store takes 100, and some are the term's own. */
export const MAX_ROWS_PER_COMMIT = 90

/** Time after a failed commit before the next try, in milliseconds. */
export const COMMIT_RETRY_MS = 100

/** Shortest time between two commits, in milliseconds, so that changes share one. */
export const COMMIT_GAP_MS = 15

/** Steady and wall clock may drift apart so far, in milliseconds, before the process counts as suspended. */
export const SUSPENSION_MS = 250

/** A final job's rows are kept so long beyond what clients are promised, in milliseconds. */
export const RETENTION_MARGIN_MS = 30_000

/** What is learnt of disturbances is written for the next owner every so many milliseconds; it takes seconds to learn. */
export const LEARNT_MS = 3_000

/** Time between two rounds that drop the rows of ended jobs, in milliseconds, and most jobs of a round. */
export const SWEEP_MS = 5_000
export const MAX_SWEPT_JOBS = 50

/** A tick that comes so much later than due counts as late, in milliseconds: a quarter of the shortest wait for a report. */
export const LATE_TICK_MS = 150

/** An owner with so many late ticks more than others can't keep up; some seconds, as each is late itself. */
export const LATE_TICKS = 12

/** After an owner gave its cell up since it could not keep up, it leaves the others so many milliseconds to claim it. */
export const HAND_OVER_HOLD_MS = 2_500

/** A process gives a cell up for that reason at most once in so many milliseconds, as all may be as slow. */
export const HAND_OVER_GAP_MS = 30_000

/** Share of a core that an owner needs for each worker; docs/CAPACITY.md, calm day of 245 workers. */
export const CORE_PER_WORKER = 0.0025

/** How much later a VM claims a term that has none of the processor that the cell needs, in milliseconds; others have claimed by then. */
export const TOO_SMALL_DELAY_MS = 2_000

/** An owner that has not read its jobs in this time, in milliseconds, gives the cell up; its workers' leases last not much longer. */
export const RESTORE_LIMIT_MS = 4_000
