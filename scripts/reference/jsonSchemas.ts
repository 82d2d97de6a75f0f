/**
 * JSON schemas of the files that operators write, for editors.
 */
import { z } from 'zod'
import { noteSchema } from '@auburnpin/core'
import { settingsSchema } from '../../app/src/settings/settingsSchema.ts'

/** A JSON schema, as far as the reference tables read it. */
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

// Editors know draft 7 best; `input`, as keys with defaults need not be written.
const OPTIONS = { io: 'input', target: 'draft-7' } as const

/** The schemas by file name. */
export const JSON_SCHEMAS: Readonly<Record<string, JsonSchema>> = {
  'settings.schema.json': z.toJSONSchema(settingsSchema, OPTIONS) as JsonSchema,
  'note.schema.json': z.toJSONSchema(noteSchema, OPTIONS) as JsonSchema
}
