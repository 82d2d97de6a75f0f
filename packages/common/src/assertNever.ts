/** Closes an exhaustive `switch`: reaching it means a case is missing. */
export const assertNever = (value: never, what: string): never => {
  throw new Error(`Unhandled ${what}: ${JSON.stringify(value)}`)
}
