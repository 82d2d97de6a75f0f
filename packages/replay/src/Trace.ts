/**
 * A parsed trace; its lines can be selected by kind.
 */
import { AuburnpinError, Err, Ok, type Result } from '@auburnpin/common'
import { traceLineSchema, type TraceLine, type TraceLineOf } from './traceSchema.ts'

/** Input of a replay: the region and all other lines. */
export class Trace {
  readonly region: TraceLineOf<'region'>
  readonly #lines: readonly TraceLine[]

  private constructor (region: TraceLineOf<'region'>, lines: readonly TraceLine[]) {
    this.region = region
    this.#lines = lines
  }

  /**
   * Parses JSON Lines; empty lines are skipped. An error contains the line number and the reason.
   *
   * @example
   * const trace = Trace.parse(await readFile('examples/traces/lanka-day.jsonl', 'utf8'))
   */
  static parse (text: string): Result<Trace, AuburnpinError> {
    const lines: TraceLine[] = []
    for (const [index, line] of text.split('\n').entries()) {
      if (line.trim() === '') continue
      const parsed = parseLine(line)
      if (parsed.err) return Err(new AuburnpinError('invalid-file', `Line ${index + 1}: ${parsed.val}`, 'Correct the line as docs/TRACES.md describes.'))
      lines.push(parsed.val)
    }
    const regions = lines.filter(line => line.kind === 'region')
    const [region] = regions
    if (region === undefined || regions.length > 1) {
      return Err(new AuburnpinError('invalid-file', `The trace has ${regions.length} lines of kind "region"`, 'Give it exactly one.'))
    }
    return Ok(new Trace(region, lines))
  }

  /** Returns the lines of one kind, in file order. */
  linesOf <Kind extends TraceLine['kind']> (kind: Kind): ReadonlyArray<TraceLineOf<Kind>> {
    return this.#lines.filter((line): line is TraceLineOf<Kind> => line.kind === kind)
  }
}

const parseLine = (line: string): Result<TraceLine, string> => {
  let value: unknown
  try {
    value = JSON.parse(line)
  } catch {
    return Err('not valid JSON')
  }
  const checked = traceLineSchema.safeParse(value)
  if (checked.success) return Ok(checked.data)
  const [issue] = checked.error.issues
  return Err(`${issue?.path.join('.') ?? ''}: ${issue?.message ?? 'invalid'}`)
}
