/** `postject` has no type declarations. */
declare module 'postject' {
  export const inject: (file: string, resource: string, content: Buffer, options: { sentinelFuse: string }) => Promise<void>
}
