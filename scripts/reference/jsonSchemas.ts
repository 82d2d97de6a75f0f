/**
 * JSON schemas of the files that operators write, for editors.
 */
import { z } from 'zod'
import { noteSchema } from '@auburnpin/core'
import { settingsSchema } from '../../app/src/settings/settingsSchema.ts'

/** The part of a JSON schema that the reference tables use. */
export type JsonSchema = Readonly<{
  type?: string
  description?: string
  default?: unknown
  enum?: readonly unknown[]
  pattern?: string
  minimum?: number
  maximum?: number
  minLength?: number
  required?: readonly string[]
  properties?: Readonly<Record<string, JsonSchema>>
  additionalProperties?: JsonSchema | boolean
  items?: JsonSchema
}>

// Editors support draft 7 best; with `input`, keys that have a default are optional.
const OPTIONS = { io: 'input', target: 'draft-7' } as const

/** The schemas by file name. */
export const JSON_SCHEMAS: Readonly<Record<string, JsonSchema>> = {
  'settings.schema.json': z.toJSONSchema(settingsSchema, OPTIONS) as JsonSchema,
  'note.schema.json': z.toJSONSchema(noteSchema, OPTIONS) as JsonSchema
}
