/**
 * Classes of calls to the platform's store by urgency.
 */

/** All classes, most urgent first. */
export const CALL_CLASSES = ['ownership', 'journal', 'snapshot', 'other'] as const

/** The urgency of a call. */
export type CallClass = typeof CALL_CLASSES[number]

/** Returns the class of a call from the keys that it reads or writes. */
export type CallClassifier = (keys: readonly string[]) => CallClass
