/** The ES module build of `ts-results` has no type declarations. */
declare module 'ts-results/esm/index.js' {
  export * from 'ts-results'
}
