/**
 * Results that carry their error, from `ts-results`: one place to import from.
 */
// The package's main face is UMD, whose names Node's module loader can't see.
export { Err, Ok, type Result } from 'ts-results/esm/index.js'
