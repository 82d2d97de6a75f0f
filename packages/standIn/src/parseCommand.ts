/**
 * The commands of stand-in tasks.
 */

/** A parsed command. */
export type StandInCommand =
  | Readonly<{ kind: 'serve', serviceMs: number }>
  | Readonly<{ kind: 'work', durationMs: number }>
  | Readonly<{ kind: 'fail', durationMs: number }>
  | Readonly<{ kind: 'watch' }>

/**
 * `serve MS` responds to requests after MS milliseconds, `work MS` finishes after MS milliseconds and `fail MS` fails
 * after them; any other command runs until it is stopped.
 *
 * @example
 * parseCommand('work 200') // { kind: 'work', durationMs: 200 }
 */
export const parseCommand = (command: string): StandInCommand => {
  const [verb, argument] = command.split(' ')
  const durationMs = Number(argument ?? 0)
  if (verb === 'serve') return { kind: 'serve', serviceMs: durationMs }
  if (verb === 'work') return { kind: 'work', durationMs }
  if (verb === 'fail') return { kind: 'fail', durationMs }
  return { kind: 'watch' }
}
