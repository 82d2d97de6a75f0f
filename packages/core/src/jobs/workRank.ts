/**
 * Position of work in the order in which waiting steps are placed.
 */

/** More than the number of size classes, so that priorities don't overlap. */
const RANKS_PER_PRIORITY = 1_000
/** Classes of size for each doubling of the work. */
const CLASSES_PER_DOUBLING = 2

/**
 * A number that rises by priority and remaining work, as in the order of `orderSteps`. Sizes are in classes, so that a
 * whole cell has few distinct ranks. A promoted job has the rank of one without work.
 *
 * @example
 * workRank(0, 7_000 * 2_200) // 48
 */
export const workRank = (priority: number, work: number): number =>
  priority * RANKS_PER_PRIORITY + Math.round(CLASSES_PER_DOUBLING * Math.log2(1 + work))
