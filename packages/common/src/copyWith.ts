/**
 * Returns a shallow copy with some properties replaced; the original is unchanged.
 *
 * @example
 * const paused = copyWith(task, { isPaused: true })
 */
export const copyWith = <Type extends object>(original: Type, changes: Partial<Type>): Type => ({ ...original, ...changes })
