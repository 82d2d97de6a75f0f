import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test from 'ava'
import type { FileFault } from '../src/settings/FileFault.ts'
import { readYamlFile } from '../src/settings/readYamlFile.ts'
import { settingsSchema } from '../src/settings/settingsSchema.ts'

const EXAMPLE = new URL('../../examples/lanka/settings-1.yaml', import.meta.url)

const faultsOf = (edit: (text: string) => string): readonly FileFault[] => {
  const folder = mkdtempSync(join(tmpdir(), 'auburnpin-'))
  try {
    const file = join(folder, 'settings.yaml')
    writeFileSync(file, edit(readFileSync(EXAMPLE, 'utf8')))
    const read = readYamlFile(file, settingsSchema)
    return read.err ? read.val : []
  } finally {
    rmSync(folder, { recursive: true })
  }
}

test('the example settings are valid', t => {
  t.deepEqual(faultsOf(text => text), [])
})

test('an unknown key is reported with its line', t => {
  const [fault] = faultsOf(text => text.replace('log:\n', 'colour: red\nlog:\n'))
  t.like(fault, { key: 'colour', message: 'is not a known key', line: 24 })
})

test('a wrong type is reported with its line', t => {
  const [fault] = faultsOf(text => text.replace('cellsPerDataCentre: 1', 'cellsPerDataCentre: many'))
  t.like(fault, { key: 'region.cellsPerDataCentre', line: 7 })
})

test('a missing address is reported at the line of its enclosing key, with a remedy', t => {
  const [fault] = faultsOf(text => text.replace(/ {2}table: .*\n/, ''))
  t.like(fault, { key: 'platform.table', line: 20, remedy: 'Add the key.' })
})
