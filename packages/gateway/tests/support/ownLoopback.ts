/**
 * A loopback address that only this process listens on.
 */

const BYTE = 256
const HALF_BYTE = 128

/**
 * The port of a listener that was closed may go to any other process on the same address, such as another copy
 * of these tests, which would then answer in its place. Linux gives each process addresses of its own.
 */
export const ownLoopback = (): string =>
  process.platform === 'linux' ? `127.${1 + Math.floor(process.pid / BYTE) % (HALF_BYTE - 2)}.${process.pid % BYTE}.1` : '127.0.0.1'
