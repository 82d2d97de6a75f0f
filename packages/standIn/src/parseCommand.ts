/**
 * The few commands that stand-in workers understand.
 */

/** What a stand-in task does. */
export type StandInCommand =
  | Readonly<{ kind: 'serve', serviceMs: number }>
  | Readonly<{ kind: 'work', durationMs: number }>
  | Readonly<{ kind: 'fail', durationMs: number }>
  | Readonly<{ kind: 'watch' }>

/**
 * `serve MS` answers requests in that time, `work MS` finishes after it, `fail MS` fails after it;
 * anything else runs until stopped.
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
