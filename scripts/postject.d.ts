/** `postject` comes without types of its own. */
declare module 'postject' {
  export const inject: (file: string, resource: string, content: Buffer, options: { sentinelFuse: string }) => Promise<void>
}
