/**
 * Length of what is stored.
 */
const encoder = new TextEncoder()

/**
 * Bytes of a value as JSON in UTF-8.
 *
 * @example
 * encodedBytes('derby/r1-3') // 12
 */
export const encodedBytes = (value: unknown): number => encoder.encode(JSON.stringify(value)).length
