/**
 * Loopback addresses that no other process listens on.
 */

const BYTE = 256
const HALF_BYTE = 128

/**
 * Returns a loopback address derived from the process id, on Linux; elsewhere `127.0.0.1`. On a shared address, another
 * process, such as a parallel run of the tests, may take the port of a closed listener, or one that was just found
 * free, and answer in its place. `index` distinguishes several addresses of one process.
 *
 * @example
 * server.listen(0, processLoopbackAddress())
 */
export const processLoopbackAddress = (index = 1): string =>
  process.platform === 'linux' ? `127.${1 + Math.floor(process.pid / BYTE) % (HALF_BYTE - 2)}.${process.pid % BYTE}.${index % BYTE}` : '127.0.0.1'
