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

/** A worker without an answer for so many milliseconds gets no new work; two long polls. */
export const SILENCE_MS = 2_500

/** So many failed runs on end, of any tasks, and the worker counts as bad; by chance at 3 % failures about 1 in 30,000. */
export const FAILURES_TO_QUARANTINE = 3

/** A bad worker gets no work for so many milliseconds before it is tried again; about one of its faults' length. */
export const QUARANTINE_MS = 6_000
