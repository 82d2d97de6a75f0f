/**
 * Copies an object with some properties replaced; the original stays as it is.
 *
 * @example
 * const paused = newWith(task, { isPaused: true })
 */
export const newWith = <Type extends object>(original: Type, changes: Partial<Type>): Type => ({ ...original, ...changes })
