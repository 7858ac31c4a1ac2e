/**
 * Plain text tables for people.
 */

const COLUMN_GAP = '  ';

/** Aligns columns to the left; a table without rows says so. */
export function formatTable(headers: string[], rows: string[][], empty = 'none'): string {
  if (rows.length === 0) {
    return empty;
  }
  const lines = [headers.map((header) => header.toUpperCase()), ...rows];
  const widths = headers.map((_, column) =>
    Math.max(...lines.map((line) => (line[column] ?? '').length)),
  );
  return lines
    .map((line) =>
      line
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join(COLUMN_GAP)
        .trimEnd(),
    )
    .join('\n');
}
