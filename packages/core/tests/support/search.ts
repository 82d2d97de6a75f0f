/**
 * Breadth-first search over all states that can be reached in a number of moves.
 */
import { InvariantError } from '@auburnpin/common'
import { keyOf, type ModelState, type Move, type ProtocolModel } from './ProtocolModel.ts'

/** Result of a search; `trace` lists the moves that lead to the violation. */
export type Search = Readonly<{ states: number, moves: number, depth: number, isComplete: boolean, violation?: string, trace?: readonly string[] }>

type Node = Readonly<{ state: ModelState, before: Node | undefined, move: string }>

/** Visits every state within `depth` moves once; stops at the first violation. */
export const search = (model: ProtocolModel, start: ModelState, depth: number): Search => {
  const seen = new Set([keyOf(start)])
  let frontier: Node[] = [{ state: start, before: undefined, move: 'start' }]
  let moves = 0
  for (let level = 1; level <= depth; level++) {
    const next: Node[] = []
    for (const node of frontier) {
      const found = movesOf(model, node.state)
      if (typeof found === 'string') return { states: seen.size, moves, depth: level, isComplete: false, violation: found, trace: traceOf(node) }
      for (const move of found) {
        moves++
        const key = keyOf(move.next)
        if (seen.has(key)) continue
        seen.add(key)
        const reached: Node = { state: move.next, before: node, move: move.name }
        const violation = model.violation(move.next)
        if (violation !== undefined) return { states: seen.size, moves, depth: level, isComplete: false, violation, trace: traceOf(reached) }
        next.push(reached)
      }
    }
    frontier = next
    if (frontier.length === 0) return { states: seen.size, moves, depth: level, isComplete: true }
  }
  return { states: seen.size, moves, depth, isComplete: false }
}

// A failed assertion in the code under test counts as a violation too.
const movesOf = (model: ProtocolModel, state: ModelState): Move[] | string => {
  try {
    return model.moves(state)
  } catch (error) {
    if (error instanceof InvariantError) return error.message
    throw error
  }
}

const traceOf = (node: Node): string[] => {
  const trace: string[] = []
  for (let at: Node | undefined = node; at !== undefined; at = at.before) trace.unshift(at.move)
  return trace
}
