/**
 * Reads a YAML file and validates it against a schema; every fault has a line and a key.
 */
import { readFileSync } from 'node:fs'
import { isMap, LineCounter, parseDocument, type Document, type Node } from 'yaml'
import type { z } from 'zod'
import { Err, Ok, type Result } from '@auburnpin/common'
import type { FileFault } from './FileFault.ts'

type Issue = z.core.$ZodIssue

/** Returns the content, or all faults sorted by line. */
export const readYamlFile = <Schema extends z.ZodType>(file: string, schema: Schema): Result<z.infer<Schema>, readonly FileFault[]> => {
  const text = readText(file)
  if (text.err) return text
  const lines = new LineCounter()
  const document = parseDocument(text.val, { lineCounter: lines, uniqueKeys: true })
  if (document.errors.length > 0) {
    return Err(document.errors.map(error => ({
      file, line: lines.linePos(error.pos[0]).line, key: '', message: error.message.split('\n')[0] ?? '', remedy: 'Correct the YAML.'
    })))
  }
  const parsed = schema.safeParse(document.toJS())
  if (parsed.success) return Ok(parsed.data)
  const faults = parsed.error.issues.flatMap(issue => toFaults(file, document, lines, issue))
  return Err(faults.sort((left, right) => left.line - right.line))
}

const readText = (file: string): Result<string, readonly FileFault[]> => {
  try {
    return Ok(readFileSync(file, 'utf8'))
  } catch (thrown) {
    const message = thrown instanceof Error ? thrown.message : String(thrown)
    return Err([{ file, line: 1, key: '', message, remedy: 'Check the path and that the file may be read.' }])
  }
}

const toFaults = (file: string, document: Document, lines: LineCounter, issue: Issue): FileFault[] => {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map(key => {
      const path = [...issue.path, key]
      return { file, line: lineOf(document, lines, path), key: path.join('.'), message: 'is not a known key', remedy: 'Remove it or correct its spelling.' }
    })
  }
  const line = lineOf(document, lines, issue.path)
  return [{ file, line, key: issue.path.join('.'), message: issue.message, remedy: remedyFor(issue) }]
}

const remedyFor = (issue: Issue): string => {
  if (issue.code === 'invalid_type' && issue.message.endsWith('received undefined')) return 'Add the key.'
  if (issue.code === 'invalid_type') return `Write a value of type ${issue.expected}.`
  return 'Correct the value; docs/SETTINGS.md describes each key.'
}

// A missing key has no line of its own, so the line of the closest enclosing key is returned.
const lineOf = (document: Document, lines: LineCounter, path: ReadonlyArray<PropertyKey>): number => {
  for (let depth = path.length; depth > 0; depth--) {
    const parent: unknown = depth === 1 ? document.contents : document.getIn(path.slice(0, depth - 1), true)
    if (!isMap(parent)) {
      const node = document.getIn(path.slice(0, depth), true) as Node | undefined
      if (node?.range != null) return lines.linePos(node.range[0]).line
      continue
    }
    const pair = parent.items.find(item => String(item.key) === String(path[depth - 1]))
    const key = pair?.key as Node | undefined
    if (key?.range != null) return lines.linePos(key.range[0]).line
  }
  return 1
}
