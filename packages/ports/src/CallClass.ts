/**
 * How urgent a call to the platform's store is.
 */

/** The classes of calls, most urgent first. */
export const CALL_CLASSES = ['ownership', 'journal', 'snapshot', 'other'] as const

/** One of the classes. */
export type CallClass = typeof CALL_CLASSES[number]

/** Tells the class of a call from the keys that it reads or writes. */
export type CallClassifier = (keys: readonly string[]) => CallClass
