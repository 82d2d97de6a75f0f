/**
 * Breadth-first search over all states that can be reached in a number of moves.
 */
import { InvariantError } from '@auburnpin/common'
import { keyOf, type ModelState, type Move, type ProtocolModel } from './ProtocolModel.ts'

/** What a search found. */
export type Search = Readonly<{ states: number, moves: number, depth: number, isComplete: boolean, breach?: string, trail?: readonly string[] }>

type Node = Readonly<{ state: ModelState, before: Node | undefined, move: string }>

/** Visits every state within `depth` moves once; stops at the first breach. */
export const search = (model: ProtocolModel, start: ModelState, depth: number): Search => {
  const seen = new Set([keyOf(start)])
  let frontier: Node[] = [{ state: start, before: undefined, move: 'start' }]
  let moves = 0
  for (let level = 1; level <= depth; level++) {
    const next: Node[] = []
    for (const node of frontier) {
      const found = movesOf(model, node.state)
      if (typeof found === 'string') return { states: seen.size, moves, depth: level, isComplete: false, breach: found, trail: trailOf(node) }
      for (const move of found) {
        moves++
        const key = keyOf(move.next)
        if (seen.has(key)) continue
        seen.add(key)
        const reached: Node = { state: move.next, before: node, move: move.name }
        const breach = model.breach(move.next)
        if (breach !== undefined) return { states: seen.size, moves, depth: level, isComplete: false, breach, trail: trailOf(reached) }
        next.push(reached)
      }
    }
    frontier = next
    if (frontier.length === 0) return { states: seen.size, moves, depth: level, isComplete: true }
  }
  return { states: seen.size, moves, depth, isComplete: false }
}

// The program's own assertions count as breaches too.
const movesOf = (model: ProtocolModel, state: ModelState): Move[] | string => {
  try {
    return model.moves(state)
  } catch (error) {
    if (error instanceof InvariantError) return error.message
    throw error
  }
}

const trailOf = (node: Node): string[] => {
  const trail: string[] = []
  for (let at: Node | undefined = node; at !== undefined; at = at.before) trail.unshift(at.move)
  return trail
}
