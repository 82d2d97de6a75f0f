/** The ES module face of `ts-results` comes without types of its own. */
declare module 'ts-results/esm/index.js' {
  export * from 'ts-results'
}
