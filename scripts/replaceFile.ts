/**
 * Replaces a file as a whole, so that nobody who opens it meanwhile finds it empty or cut short.
 */
import { mkdirSync, renameSync, rmSync } from 'node:fs'
import { basename, dirname, join } from 'node:path'

/**
 * Calls `write` with the path of a temporary file in the same folder, and renames that file over `file`. If either fails, the
 * temporary file is removed and `file` stays as it was.
 *
 * @example
 * await replaceFile('target/program.cjs', async temporary => { await build({ outfile: temporary }) })
 */
export const replaceFile = async (file: string, write: (temporary: string) => Promise<void>): Promise<void> => {
  const folder = dirname(file)
  const temporary = join(folder, `.${basename(file)}.${process.pid}`)
  mkdirSync(folder, { recursive: true })
  try {
    await write(temporary)
    renameSync(temporary, file)
  } finally {
    rmSync(temporary, { force: true })
  }
}
