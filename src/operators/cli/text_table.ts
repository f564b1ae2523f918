/** Formats aligned text tables.
 * @module */

const GAP = "  ";

/** Formats rows below a line of headings; columns of numbers are right-aligned. */
export function textTable(
  headings: readonly string[],
  rows: readonly (readonly unknown[])[],
): string {
  const texts = rows.map((row) => row.map(show));
  const widths = headings.map((heading, pos) =>
    Math.max(heading.length, ...texts.map((row) => row[pos].length))
  );
  const right = headings.map((_, pos) =>
    rows.every((row) => typeof (row[pos] ?? 0) === "number")
  );
  const line = (cells: readonly string[]) =>
    cells.map((cell, pos) =>
      right[pos] ? cell.padStart(widths[pos]) : cell.padEnd(widths[pos])
    ).join(GAP).trimEnd();
  return [line(headings), ...texts.map(line)].map((text) => `${text}\n`)
    .join("");
}

function show(value: unknown): string {
  return value === undefined || value === null ? "" : String(value);
}
