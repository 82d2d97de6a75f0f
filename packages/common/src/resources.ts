/**
 * Resources of VMs and tasks: processors, memory, accelerators.
 */

/** Processors in cores (fractions allowed), memory in megabytes, accelerators in whole devices. */
export type Resources = Readonly<{
  processors: number
  memoryMb: number
  accelerators: number
}>

/** Zero in every dimension. */
export const NO_RESOURCES: Resources = { processors: 0, memoryMb: 0, accelerators: 0 }

/** The three dimensions, in the order in which messages name them. */
export const RESOURCE_DIMENSIONS = ['processors', 'memoryMb', 'accelerators'] as const

/** One of the three dimensions of `Resources`. */
export type ResourceDimension = typeof RESOURCE_DIMENSIONS[number]

/** Sum of two amounts. */
export const addResources = (left: Resources, right: Resources): Resources => ({
  processors: left.processors + right.processors,
  memoryMb: left.memoryMb + right.memoryMb,
  accelerators: left.accelerators + right.accelerators
})

/** `left` less `right`; may go below zero. */
export const subtractResources = (left: Resources, right: Resources): Resources => ({
  processors: left.processors - right.processors,
  memoryMb: left.memoryMb - right.memoryMb,
  accelerators: left.accelerators - right.accelerators
})

// Tolerance for rounding errors: sums of fractions of a core drift by far less than this.
const ROUNDING_CORES = 1e-9

/**
 * Whether `wanted` fits into `free` in every dimension.
 *
 * @example
 * fitsWithin({ processors: 2, memoryMb: 512, accelerators: 0 }, free)
 */
export const fitsWithin = (wanted: Resources, free: Resources): boolean =>
  wanted.processors <= free.processors + ROUNDING_CORES &&
  wanted.memoryMb <= free.memoryMb &&
  wanted.accelerators <= free.accelerators
