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

/** Fillers slow down when the smoothed pressure on a serving task is beyond this; 1 is just on its target. */
export const PRESSURE_HIGH = 0.97

/** One reading beyond this pressure is enough for them to slow down. */
export const PRESSURE_ALARM = 1.03

/** Fillers that must slow down do so until the pressure is expected at this. */
export const PRESSURE_GOAL = 0.8

/** Fillers may speed up again when all pressures are below this. */
export const PRESSURE_LOW = 0.9

/** A filler that may disturb goes only where the pressure is expected below this, which leaves room for errors. */
export const PRESSURE_PLACING = 0.9

/** Share of a pressure's last rise that it is expected to rise again before the next reading. */
export const TREND_SHARE = 0.5

/** Tail of an idle server, as a share of the shortest tail seen; servers are seldom idle. */
export const EMPTY_TAIL_SHARE = 0.8

/** Shortest tail as a share of the target before any is seen. */
export const FIRST_EMPTY_TAIL_SHARE = 0.25

/** Weight of the newest reading in a smoothed tail; readings are rough, and two in a row must count. */
export const TAIL_SMOOTHING = 0.5

/** A filler that adds less than this to a pressure counts as harmless; readings differ by more. */
export const HARMLESS_SHARE = 0.05

/** A filler that adds less than this to a pressure, as learnt, disturbs nobody; before anything is learnt it counts for more. */
export const BENIGN_SHARE = 0.02

/** Milliseconds before a slow-down shows in the readings: it takes 100 ms, and a reading covers 500 ms. */
export const PACE_SETTLE_MS = 600

/** Milliseconds between two steps up; one fresh reading. */
export const PACE_UP_GAP_MS = 700

/** Share of its reserved processors that a serving task is taken to use before its load is known. */
export const SERVING_USE = 0.5

/** An order of a pace without an answer is sent again after so many milliseconds. */
export const PACE_RETRY_MS = 300

/** Share of the workers that new serving tasks keep off, so that short urgent tasks and restarts find room. */
export const SPARED_SHARE = 0.1

/** A run whose progress has not changed for so many milliseconds stands still; the longest tasks of 7 s gain a fifth in it. */
export const STALL_MS = 1_500

/** A task that was moved so often stays where it is, or it would get nowhere. */
export const MAX_MOVES = 3

/** A serving task's reading tells its step's load for so many milliseconds; two reports of its worker. */
export const LOAD_FRESH_MS = 1_500

/** A step's load is taken to go on as in the last so many milliseconds; a tenth of its swing. */
export const LOAD_TREND_MS = 1_500

/** How far ahead a filler's place must stay under its targets, in milliseconds; most of a short filler's run. */
export const PLACING_AHEAD_MS = 1_500

/** A serving task that shows more than its target for so many milliseconds counts by itself; two cuts more, and it is under it before 4 s. */
export const LONE_EXCESS_MS = 1_200

/** Fillers that add less than this to a pressure, as readings show, are not what raises it; readings differ by as much. */
export const SHOWN_DISTURBANCE = 0.04
