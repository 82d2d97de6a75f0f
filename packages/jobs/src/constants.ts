/** Timings and limits of job scheduling. */
import { brand, type CellId } from '@auburnpin/common'
import { MAX_ORDER_DELAY_MS, MIN_CLOCK_RATE, MIN_RESTART_MS, MIN_SURVIVAL_MS } from '@auburnpin/core'

/** The cell that exists in every deployment. Its owner assigns the racks to cells and publishes the state of all cells. */
export const FIRST_CELL = brand<CellId>('cell-0')

/** Workers of one cell. An owner needs some 0.6 of a core for this many; see docs/CAPACITY.md. */
export const WORKERS_PER_CELL = 250

/** Most cells besides the first that a process stands by for, so that it reads no more terms however many cells there are. */
export const STANDBY_CELLS = 3

/** Delay of a claim for each cell that the process owns already, in milliseconds, so that others claim first. */
export const OWNED_CELL_CLAIM_DELAY_MS = 800

/** Most rows of the layout that one transaction writes. */
export const MAX_LAYOUT_ROWS_PER_COMMIT = 30

/** Time between two looks for jobs that another cell should schedule, in milliseconds. */
export const TRANSFER_INTERVAL_MS = 500

/** Shortest wait of a job that is given to another cell, in milliseconds; most jobs start sooner. */
export const MIN_TRANSFER_WAIT_MS = 800

/** Time between two looks for tasks that another cell should schedule, or get back, in milliseconds. */
export const DELEGATION_INTERVAL_MS = 250

/** Time between two reads of the free capacity of other cells while long-running tasks are interrupted, in milliseconds; terms are renewed as often. */
export const INTERRUPTED_CAPACITY_READ_INTERVAL_MS = 500

/** The same while only other tasks wait, in milliseconds. */
export const CAPACITY_READ_INTERVAL_MS = 750

/** Most cells whose free capacity is read at once. */
export const MAX_CAPACITY_READS = 8

/** Most tasks that are delegated at once; each costs some four small writes. */
export const MAX_DELEGATIONS_AT_ONCE = 50

/** Most tasks but interrupted ones that are delegated at the same time and aren't done, or, if long-running, haven't started. */
export const MAX_OPEN_DELEGATIONS = 16

/** How long a cell that gave long-running tasks of a step back gets none of that step, in milliseconds: capacity that comes free meanwhile is used within the 3 s that users allow. */
export const LASTING_REFUSAL_MS = 2_000

/** The same for other tasks, in milliseconds: at first, and at most, as it doubles each time. */
export const MIN_REFUSAL_MS = 5_000
export const MAX_REFUSAL_MS = 60_000

/** Time between two reads of a cell's racks by its owner, in milliseconds. */
export const RACKS_POLL_INTERVAL_MS = 500

/** A worker that has reported to its owner counts as silent after this many calls without a response, so that a single lost one costs no commit. */
export const SILENT_CALLS = 2

/** Number of parts of the jobs table. The store runs the transactions of one part one after another, which takes long when it is slow. */
export const JOB_PART_COUNT = 16

/** Longest time between two renewals of a term, in milliseconds; leaves three tries within a term's length. */
export const TERM_RENEWAL_INTERVAL_MS = 500

/** How long the owner holds its term after it sent a renewal, in milliseconds. */
export const TERM_LENGTH_MS = 1_600

/** Other processes treat a term as expired after this many milliseconds without a renewal: its length, and an allowance for two late timers. */
export const TERM_EXPIRY_MS = 2_100

/** Time between two reads of the term by a process, in milliseconds. */
export const TERM_POLL_INTERVAL_MS = 500

/** Length of a worker's lease, in milliseconds: longer than a takeover, and shorter than the longest delay of an order. */
export const WORKER_LEASE_MS = 4_500

/** How long a worker may hold back a report until a run ends, in milliseconds; several reports fit into a lease. */
export const REPORT_WAIT_MS = 1_500

/** The same for a worker with serving tasks, in milliseconds; one reading of their latency covers 500 ms. */
export const SERVING_REPORT_WAIT_MS = 600

/** Milliseconds after the start of a task that may crash its worker until a report shows that it has survived its start, also on a slow clock. */
export const SURVIVAL_REPORT_DELAY_MS = MIN_SURVIVAL_MS / MIN_CLOCK_RATE + 20

/** Age of a worker's latest answer from which on the worker is asked before a task starts there, in milliseconds. */
export const MAX_CONFIRMATION_AGE_MS = MIN_RESTART_MS

/** Shortest time between two reports of one worker, in milliseconds, so that one report lists several ended runs. */
export const MIN_REPORT_INTERVAL_MS = 25

/** Longest such time while the process is late, in milliseconds. */
export const MAX_REPORT_INTERVAL_MS = 200

/** Longest delay of the next report while reported ends are not durable yet, in milliseconds. */
export const PENDING_COMMIT_REPORT_INTERVAL_MS = 200

/** Pause between two reports of a worker that lists ends again and again because they must not be acknowledged yet, in milliseconds. */
export const HELD_ENDS_REPORT_INTERVAL_MS = 400

/** Greatest age of the reading of an idle worker's clock, in milliseconds; the lease of a start is shorter by 2 % of it. */
export const MAX_CLOCK_AGE_MS = 60_000

/** How long idle workers are asked more often once a worker has fallen silent, in milliseconds: until its lease is over and they have been asked again. */
export const SILENCE_WATCH_MS = WORKER_LEASE_MS / MIN_CLOCK_RATE + 2 * REPORT_WAIT_MS

/** Delay before a failed report is requested again, in milliseconds. */
export const REPORT_RETRY_DELAY_MS = 250

/** How long the store may wait for a change before it responds to a request for a table's changes, in milliseconds. */
export const FEED_WAIT_MS = 1_000

/** Delay before a failed read of a table or of its changes is retried, in milliseconds. */
export const FEED_RETRY_DELAY_MS = 150

/** An owner starts nothing once the list of evacuated data centres is older than this, in milliseconds: the 5 s that operators allow, and as much for a store that answers late. */
export const MAX_EVACUATIONS_AGE_MS = 10_000

/** Time between two scheduling passes when nothing changes, in milliseconds. */
export const TICK_INTERVAL_MS = 100

/** Most progress rows that one transaction writes or deletes; the store accepts 100 rows, and some belong to the term itself. */
export const MAX_ROWS_PER_COMMIT = 90

/** Most bytes of the values of one commit: half of the time of a call over a link of 7 Mbit/s, in base64. */
export const MAX_BYTES_PER_COMMIT = 250_000

/** Most bytes of the rows of the layout in one commit, unless a single row takes more. */
export const MAX_LAYOUT_BYTES_PER_COMMIT = 100_000

/** Most workers that one owner uses, and most bytes of what it records of them, as one commit writes all; sixteen times a full cell. */
export const MAX_USED_WORKERS = 4_000
export const MAX_USED_WORKERS_BYTES = 400_000

/** Delay before a failed commit is retried, in milliseconds. */
export const COMMIT_RETRY_DELAY_MS = 100

/** Shortest time between two commits, in milliseconds, so that several changes share one. */
export const MIN_COMMIT_INTERVAL_MS = 15

/** When the steady and the wall clock have drifted apart by this many milliseconds, the process has been suspended. */
export const SUSPENSION_THRESHOLD_MS = 250

/** Rows of a finished job are kept for this many milliseconds beyond the time promised to clients. */
export const RETENTION_MARGIN_MS = 30_000

/** Time between two writes of the interference estimates for the next owner, in milliseconds; an estimate takes seconds to form. */
export const ESTIMATES_INTERVAL_MS = 3_000

/** Time between two looks for jobs that have ended, in milliseconds. */
export const ENDED_JOBS_INTERVAL_MS = 10_000

/** Rows of a job leave the jobs table this many milliseconds after its end: a start that was sent before has been carried out by then. */
export const ENDED_JOB_DELAY_MS = MAX_ORDER_DELAY_MS + 3_000

/** Most jobs of one such look; several times as many as start at the target. */
export const MAX_ENDED_JOBS = 2_000

/** Time between two reads of parts of the table of ended jobs by a new owner, in milliseconds. */
export const ENDED_JOBS_READ_INTERVAL_MS = 1_000

/** A tick that fires this many milliseconds after it was due counts as late: a quarter of the shortest wait for a report. */
export const LATE_TICK_THRESHOLD_MS = 150

/** An owner is overloaded once it has had this many more late ticks than punctual ones; that takes some seconds, as late ticks are further apart. */
export const OVERLOAD_LATE_TICKS = 12

/** An owner that released its cell because of overload claims no cell for this many milliseconds, so that others can. */
export const HANDOVER_CLAIM_PAUSE_MS = 2_500

/** Shortest time between two releases of a cell because of overload, in milliseconds, as the other processes may be just as slow. */
export const MIN_HANDOVER_INTERVAL_MS = 30_000

/** Share of a core that an owner needs for each worker; see the calm day of 245 workers in docs/CAPACITY.md. */
export const CORES_PER_WORKER = 0.0025

/** Delay of a claim by a VM that has none of the processor time that the cell needs, in milliseconds; by then others have claimed the cell. */
export const SHORTFALL_CLAIM_DELAY_MS = 2_000

/** An owner that reads the jobs at the start of its term releases the cell if nothing arrives for this many milliseconds; its workers' leases expire soon after. */
export const MAX_RESTORE_PAUSE_MS = 4_000

/** Time between two reports of the tasks that wait, in milliseconds. */
export const WAIT_REPORT_INTERVAL_MS = 2_000

/** Shortest wait that is reported, in milliseconds. */
export const MIN_REPORTED_WAIT_MS = 2_000

/** Shortest interruption of a long-running task that is reported, in milliseconds; users allow 6 s. */
export const MIN_REPORTED_INTERRUPTION_MS = 1_000

/** Most interrupted tasks in one report of waits. */
export const MAX_REPORTED_INTERRUPTIONS = 8

/** Most steps of each kind of task in one report of waits. */
export const MAX_REPORTED_WAITS = 4

/** How long a submission with an unknown outcome may still be stored, in milliseconds; clients repeat theirs for less. */
export const UNCERTAIN_SUBMISSION_MS = 60_000

/** Most submissions with an unknown outcome that a process remembers; an outage of some seconds leaves some hundreds. */
export const MAX_UNCERTAIN_SUBMISSIONS = 5_000

/** Most tasks that an owner keeps: a quarter of the heap of the deploy file, at some 300 bytes a task. */
export const MAX_KEPT_TASKS = 130_000

/** Longest wait for the row of a job that is about to be refused, in milliseconds; leaves most of a client's time limit for its submission. */
export const MAX_ADMISSION_READ_MS = 400
