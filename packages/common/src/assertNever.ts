/** For the default case of an exhaustive `switch`: a missing case is a compile error, and throws at run time. */
export const assertNever = (value: never, what: string): never => {
  throw new Error(`Unhandled ${what}: ${JSON.stringify(value)}`)
}
