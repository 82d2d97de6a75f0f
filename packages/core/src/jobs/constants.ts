/** Constants of job scheduling. */

/** Lowest rate of a worker's steady clock: clocks may be 2 % slow, so that a lease lasts longer than its nominal duration. */
export const MIN_CLOCK_RATE = 0.98

/** Milliseconds after the end of a lease before it counts as expired; covers one late timer on a small VM. */
export const LEASE_MARGIN_MS = 200

/** Longest lease that a worker takes, in milliseconds; it shortens a longer one. */
export const MAX_WORKER_LEASE_MS = 10_000

/** Longest time after which an order that got no response is carried out, in milliseconds. */
export const MAX_ORDER_DELAY_MS = 12_000

/** Most tasks of a repeating job that are open at the same time, unless a single occurrence has more. */
export const MAX_OPEN_TASKS_PER_JOB = 2_000

/** How often an order to start that got no answer is sent to the same incarnation again before its run is stopped. */
export const MAX_START_REPEATS = 3

/** Longest time that a long-running task waits for an order without an answer, in milliseconds: users allow 7 s from the fault to its next run. */
export const MAX_LASTING_HOLD_MS = 6_500

/** No worker starts again in less than this many milliseconds. */
export const MIN_RESTART_MS = 100

/** Distance between the first attempt numbers of consecutive terms. Even a task that fails at once each time needs over two days for as many starts. */
export const ATTEMPTS_PER_TERM = 100_000

/** Milliseconds after which an order to stop is repeated if the run has not ended; a stop takes up to 400 ms. */
export const STOP_RETRY_MS = 600

/** Milliseconds without new work for a worker that refused a start; the length of one or two tasks. */
export const REFUSAL_PAUSE_MS = 700

/** Consecutive failed runs, of any tasks, that quarantine a worker; at 3 % failures about 1 in 30,000 by chance. */
export const FAILURES_TO_QUARANTINE = 3

/** Milliseconds for which a quarantined worker gets no work; about as long as a fault of a worker lasts. */
export const QUARANTINE_MS = 6_000

/** Fillers are slowed down when the smoothed pressure on a serving task exceeds this; 1 is exactly on target. */
export const PRESSURE_HIGH = 0.97

/** Fillers are also slowed down after a single reading whose forecast pressure exceeds this. */
export const PRESSURE_FORECAST_HIGH = 1.03

/** Expected pressure that slowing down fillers aims for, and up to which more than one filler is sped up at once. */
export const PRESSURE_GOAL = 0.8

/** Fillers may be sped up again when all pressures are below this. */
export const PRESSURE_LOW = 0.9

/** Highest expected pressure at which a filler that interferes is placed; below 1 as a margin for estimation errors. */
export const MAX_PLACING_PRESSURE = 0.9

/** Share of the last rise of a pressure that is expected to repeat before the next reading. */
export const TREND_DAMPING = 0.5

/** Tail latency of an idle server, as a share of the shortest tail observed; servers are seldom idle. */
export const IDLE_TAIL_SHARE = 0.8

/** Shortest tail as a share of the target, until one is observed. */
export const DEFAULT_SHORTEST_TAIL_SHARE = 0.25

/** Weight of the newest reading in a smoothed pressure; readings are noisy, and two in a row must take effect. */
export const PRESSURE_SMOOTHING = 0.5

/** A filler that adds less pressure than this is slowed down only if slowing down the others does not help; readings vary by more. */
export const HARMLESS_ADDED_PRESSURE = 0.05

/** A filler with a learnt added pressure below this is placed anywhere; before anything is learnt the estimate is higher. */
export const NEGLIGIBLE_ADDED_PRESSURE = 0.02

/** Milliseconds until a new pace is visible in the readings: it takes 100 ms to apply, and a reading covers 500 ms. */
export const PACE_SETTLE_MS = 600

/** Milliseconds between two increases of pace, so that each is followed by a new reading. */
export const SPEED_UP_GAP_MS = 700

/** Share of its reserved processors that a serving task is assumed to use while its load is unknown. */
export const DEFAULT_SERVING_UTILISATION = 0.5

/** Milliseconds after which an order to change the pace is repeated if it got no response. */
export const PACE_RETRY_MS = 300

/** Share of the workers not used for new serving tasks, to keep capacity for short urgent tasks and restarts. */
export const RESERVED_WORKER_SHARE = 0.1

/** Milliseconds over which the demand of short tasks is measured, and for which one that found no room counts; three waves of a load that swings every 11 s. */
export const DEMAND_WINDOW_MS = 33_000

/** Quantile of the demand within the window that is reserved; the shortest bursts, of 3 s, are a tenth of it. */
export const DEMAND_QUANTILE = 0.9

/** Milliseconds of which the highest demand counts as one value of the quantile. */
export const DEMAND_BUCKET_MS = 1_000

/** Minimum milliseconds between two measurements; a burst lasts 3 s and more, and a measurement visits every run. */
export const DEMAND_SAMPLE_GAP_MS = 200

/** Milliseconds in which the demand falls to no less than 37 %; longer than one wave, so that the trough between two opens little. */
export const DEMAND_FALL_MS = 20_000

/** Milliseconds without progress after which a run counts as stalled; the longest tasks, of 7 s, advance by a fifth in this time. */
export const STALL_MS = 1_500

/** Maximum number of moves of a task; more would keep it from finishing. */
export const MAX_MOVES = 3

/** Milliseconds for which a reading counts towards the load of its step; two reports of the worker. */
export const LOAD_MAX_AGE_MS = 1_500

/** Milliseconds of history from which the trend of a step's load is extrapolated; a tenth of the duration of one swing of the load. */
export const LOAD_TREND_WINDOW_MS = 1_500

/** Milliseconds ahead for which pressure is forecast when placing a filler; most of the run of a short filler. */
export const PLACING_HORIZON_MS = 1_500

/** Milliseconds over target after which an outlier's own readings are used; leaves time for two slow-downs within 4 s over target. */
export const OUTLIER_CONFIRM_MS = 1_200

/** Measured interference below this is not treated as the cause of a high pressure; readings vary by as much. */
export const MIN_MEASURED_INTERFERENCE = 0.04

/** A run of a long-running task that fails within this many milliseconds after its order counts as one that failed at once. */
export const SHORT_RUN_MS = 1_000

/** Shortest and longest delay of a restart after several such runs in a row, in milliseconds. Users allow 6 s without a run. */
export const MIN_RESTART_DELAY_MS = 200
export const MAX_RESTART_DELAY_MS = 2_000

/** Workers that fall silent within this many milliseconds may have been lost for the same reason; calls to them time out after up to 2.3 s. */
export const LOST_TOGETHER_MS = 2_500

/** Milliseconds after which a silent worker that is still listed counts as alive; the entry of one that has crashed is removed sooner. */
export const LISTED_ALIVE_MS = 10_000

/** Milliseconds for which the loss of a worker is remembered; several leases. */
export const LOSS_MEMORY_MS = 30_000

/** Quantiles of the sizes of a queue's recent jobs that divide its jobs into bands. */
export const SIZE_BAND_QUANTILES: readonly number[] = [0.5, 0.75, 0.9]

/** Number of recent jobs of a queue whose sizes are compared. */
export const SIZE_SAMPLE = 64

/** Milliseconds over which the weight of a job in the shares of its band falls to 37 %. */
export const SIZE_MEMORY_MS = 20_000

/** A band of job sizes is behind below this share of the whole queue's rate of started work. */
export const FAIR_SIZE_SHARE = 0.7

/** A job whose remaining slack is below this share of the whole may be promoted and may hold workers. */
export const AFFORDABLE_SLACK_SHARE = 0.5

/** Milliseconds without any run after which a job that can't meet its objective counts as idle; users allow 3 s while workers are free. */
export const IDLE_JOB_MS = 1_000

/** Share of the started work that goes to overdue and idle useless jobs while jobs in time wait. */
export const IDLE_JOB_SHARE = 1 / 16

/** The same while late jobs wait that are still useful, and none in time. */
export const IDLE_JOB_SHARE_BESIDE_LATE = 1 / 2

/** Most work of idle jobs that is owed to them, in milliseconds of all processors of the service. */
export const MAX_IDLE_CREDIT_MS = 250

/** Most by which idle jobs can overdraw that, in the same unit; the estimate of a task may be far too high. */
export const MAX_IDLE_DEBT_MS = 10_000

/** Most tasks of overdue jobs, and most idle jobs, that their share starts in one scheduling pass; each costs a search of all workers. */
export const MAX_IDLE_STARTS = 32

/** A job is overdue once it has taken this many times as long as it was useful; then it is run to its end before others that are useless. */
export const OVERDUE_USEFUL_TIMES = 2

/** Milliseconds for which a job has been idle before its fillers may start at a reduced pace. */
export const SLOW_START_AFTER_MS = 1_500

/** Lowest pace at which a filler is started, in percent of full speed. */
export const MIN_SLOW_PACE_PERCENT = 5

/** Most fillers below full pace beside which another one is started at a reduced pace. */
export const MAX_SLOW_FILLERS = 4

/** Milliseconds for which a job has been idle before a worker is held for it. */
export const IDLE_HOLD_AFTER_MS = 10_000

/** Milliseconds that a long-running task waits before it holds a worker. */
export const LONG_RUNNING_HOLD_AFTER_MS = 2_000

/** Milliseconds over which the workers of a restored data centre take new work again: several tasks of 0.6 to 1.7 s, and less than users allow a long-running task to be away. */
export const RESTORATION_SPREAD_MS = 4_000

/** Largest share of the workers that is held at the same time for tasks that have not run. */
export const HELD_WORKER_SHARE = 0.125

/** Share of a queue's jobs in each band of sizes; follows from `SIZE_BAND_QUANTILES`. */
export const SIZE_BAND_SHARES: readonly number[] = [...SIZE_BAND_QUANTILES, 1].map((quantile, band) => quantile - (SIZE_BAND_QUANTILES[band - 1] ?? 0))

/** Shortest time between two forecasts of waits, in milliseconds; about as often as terms are renewed and read. */
export const FORECAST_INTERVAL_MS = 400

/** An owner publishes no forecast that is older than this, in milliseconds; its passes may have stopped. */
export const MAX_FORECAST_AGE_MS = 1_500

/** Longest wait that is forecast, in milliseconds; each queue's jobs are useless before. */
export const MAX_FORECAST_WAIT_MS = 60_000

/** Most queues in the forecast of a cell, so that the row of the first of many cells stays within the store's limit. */
export const MAX_FORECAST_QUEUES = 8

/** Milliseconds over which the weight of a measured rate falls to 37 %; several waves of tasks of 0.6 to 2 s. */
export const FORECAST_RATE_MEMORY_MS = 6_000

/** As above while nothing waits, so that the rate of the last overload is soon replaced by that of free processors. */
export const IDLE_RATE_MEMORY_MS = 10_000

/** Milliseconds for which the rate of fully used processors counts beside the measured one. */
export const FORECAST_PRIOR_MS = 1_000

/** The part of the rate that a job's wait is computed with is at least this share of it, however much arrives before the job; a lower share makes the refused share oscillate. */
export const MIN_DRAIN_SHARE = 0.8

/** A forecast that a process first saw longer ago than this refuses no job, in milliseconds; terms are renewed and polled every 500 ms. */
export const MAX_WAITS_AGE_MS = 2_000

/** Milliseconds in which the refused share falls from 1 to 0 at the fastest; a faster fall makes it oscillate with the load. */
export const ADMISSION_SHARE_FALL_MS = 8_000

/** Jobs are refused from this share of their slack on, if they would wait that long; starting later makes the refused share oscillate. */
export const FIRST_REFUSAL_SHARE = 0.25

/** Factor on the refused share, and on the time to come back, for each earlier refusal of a job. */
export const REFUSAL_DISCOUNT = 0.8

/** Bounds of the time after which a refused client may come back, in milliseconds. */
export const MIN_RETRY_AFTER_MS = 1_000
export const MAX_RETRY_AFTER_MS = 15_000

/** Most refused jobs that a process remembers; at 30 refusals a second, those of the last two minutes. */
export const MAX_REMEMBERED_REFUSALS = 4_000

/** Shortest time without a run, in milliseconds, after which an interrupted long-running task may be delegated to another cell; most find a worker in the next pass. */
export const MIN_DELEGATED_INTERRUPTION_MS = 300

/** The same for the wait of a step whose tasks have not run, in milliseconds: longer than a job waits before it moves as a whole. */
export const MIN_DELEGATED_WAIT_MS = 1_200

/** A task that has waited this long in the cell that it was delegated to is given back, in milliseconds; leaves time for another cell within the 9 s that users allow. */
export const RETURN_AFTER_MS = 700

/** The same if it is an interrupted task that holds a worker there, in milliseconds; most tasks that end by themselves end before. */
export const HELD_RETURN_AFTER_MS = 2_500

/** Jobs are refused while all accepted work takes longer to start than this many times the slack of its jobs; run in the order of acceptance, they would end late and still useful. */
export const BACKLOG_LIMIT_SLACKS = 3

/** The least time for which that is so, in milliseconds; single large jobs change the backlog by seconds. */
export const MIN_BACKLOG_LIMIT_MS = 5_000

/** All jobs are refused from this many times the limit on. */
export const FULL_REFUSAL_LIMITS = 1.5

/** Longest time to start all accepted work that is stated, in milliseconds; a day. */
export const MAX_DRAIN_MS = 86_400_000

/** A backlog is published from this share of its limit on; it may grow by the rest until processes have read it. */
export const MIN_PUBLISHED_BACKLOG_SHARE = 0.5

/** Milliseconds in which the places of jobs move through all refused shares, and the longest time after which a client may come back. */
export const BACKLOG_RETURN_CYCLE_MS = 60_000
