/**
 * Re-exports `Result` from `ts-results`; all packages import it from here.
 */
// The package's main entry point is UMD, whose named exports Node's ES module loader can't detect.
export { Err, Ok, type Result } from 'ts-results/esm/index.js'
