/** Values in a file, one a line, as JSON.
 * @module */

/** Values of a file, and the number of its lines that are not JSON. */
export interface Content {
  readonly values: readonly unknown[];
  readonly skippedCount: number;
}

/** Encodes a value as one line. */
export function encode(value: unknown): Buffer {
  return Buffer.from(`${JSON.stringify(value)}\n`);
}

/** Decodes the lines of a file. Skips those that are not JSON, such as one that
 * was cut off by the end of the process that wrote it. */
export function decode(bytes: Uint8Array): Content {
  const lines = Buffer.from(bytes).toString("utf8").split("\n")
    .filter((line) => line !== "");
  const values = lines.flatMap((line) => decodeLine(line));
  return { values, skippedCount: lines.length - values.length };
}

function decodeLine(line: string): unknown[] {
  try {
    return [JSON.parse(line)];
  } catch (error) {
    if (!(error instanceof SyntaxError)) throw error;
    return [];
  }
}
