/**
 * Formats tables for terminals.
 */

/** Width of the narrowest supported terminal, in characters. */
export const TABLE_COLUMNS = 80

const GAP = '  '
const ELLIPSIS = '…'

/**
 * Returns lines with aligned columns, none longer than 80 characters; the widest columns are truncated.
 *
 * @example
 * formatTable(['MEMBER', 'STATE'], [['colombo-1', 'ready']])
 */
export const formatTable = (header: readonly string[], rows: ReadonlyArray<readonly string[]>): string[] => {
  const widths = header.map((title, column) => Math.max(title.length, ...rows.map(row => (row[column] ?? '').length)))
  const availableWidth = TABLE_COLUMNS - GAP.length * (header.length - 1)
  for (let surplus = sum(widths) - availableWidth; surplus > 0; surplus--) {
    const widest = widths.indexOf(Math.max(...widths))
    widths[widest] = (widths[widest] ?? 0) - 1
  }
  return [header, ...rows].map(row => row.map((cell, column) => fit(cell, widths[column] ?? 0)).join(GAP).trimEnd())
}

const sum = (numbers: readonly number[]): number => numbers.reduce((total, number) => total + number, 0)

const fit = (cell: string, width: number): string =>
  cell.length <= width ? cell.padEnd(width) : `${cell.slice(0, width - 1)}${ELLIPSIS}`
