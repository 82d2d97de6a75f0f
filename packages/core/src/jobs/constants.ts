/** Constants of job scheduling; each with its unit and where it comes from. */

/** Workers' steady clocks may be 2 % slow, so a lease of theirs lasts longer on a right clock. */
export const SLOWEST_CLOCK = 0.98

/** Added to a lease's end before it counts as over, in milliseconds: one late timer on a small VM. */
export const LEASE_MARGIN_MS = 200

/** Room between the first run numbers of two terms: an owner starts one task less often than this. */
export const ATTEMPTS_PER_TERM = 1_000

/** An order to stop is sent again after so many milliseconds without its end; a stop takes up to 400 ms. */
export const STOP_RETRY_MS = 600

/** A worker that had no room or refused is left alone for so many milliseconds; one or two tasks' length. */
export const REFUSAL_PAUSE_MS = 700

/** So many failed runs on end, of any tasks, and the worker counts as bad; by chance at 3 % failures about 1 in 30,000. */
export const FAILURES_TO_QUARANTINE = 3

/** A bad worker gets no work for so many milliseconds before it is tried again; about one of its faults' length. */
export const QUARANTINE_MS = 6_000

/** Fillers slow down when a serving task's tail is beyond this share of its target. */
export const TAIL_HIGH = 0.95

/** One reading beyond this share of a target is enough for them to slow down. */
export const TAIL_ALARM = 1.3

/** Fillers that must slow down do so until the tail is expected at this share of its target. */
export const TAIL_GOAL = 0.7

/** Fillers may speed up again when all tails are below this share of their targets. */
export const TAIL_LOW = 0.75

/** A filler goes only where no tail is expected beyond this share of its target. */
export const TAIL_PLACING = 0.85

/** Weight of the newest reading in a smoothed tail; readings are rough, and two in a row must count. */
export const TAIL_SMOOTHING = 0.5

/** A reading beyond so many times the target says no more than this. */
export const TAIL_SHARE_BOUND = 4

/** A filler that adds less than this to a tail, as a share of its target, counts as harmless; readings differ by more. */
export const HARMLESS_SHARE = 0.05

/** Milliseconds before a slow-down shows in the readings: it takes 100 ms, and a reading covers 500 ms. */
export const PACE_SETTLE_MS = 600

/** Milliseconds between two steps up; one fresh reading. */
export const PACE_UP_GAP_MS = 700

/** Share of its reserved processors that a serving task uses on the whole; the rest is left to fillers. */
export const SERVING_USE = 0.5

/** An order of a pace without an answer is sent again after so many milliseconds. */
export const PACE_RETRY_MS = 300

/** Share of the workers that new serving tasks keep off, so that short urgent tasks and restarts find room. */
export const SPARED_SHARE = 0.1
