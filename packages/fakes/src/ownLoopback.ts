/**
 * A loopback address that only this process listens on.
 */

const BYTE = 256
const HALF_BYTE = 128

/**
 * The port of a listener that was closed, or that was free a moment ago, may go to any other process on the same
 * address, such as another copy of the tests, which then answers in its place. Linux gives each process addresses
 * of its own; `index` tells several of them apart.
 *
 * @example
 * server.listen(0, ownLoopback())
 */
export const ownLoopback = (index = 1): string =>
  process.platform === 'linux' ? `127.${1 + Math.floor(process.pid / BYTE) % (HALF_BYTE - 2)}.${process.pid % BYTE}.${index % BYTE}` : '127.0.0.1'
