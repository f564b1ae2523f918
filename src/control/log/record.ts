/** Lines of the journal's files: JSON with a checksum and a number.
 * @module */

import * as zlib from "node:zlib";
import * as errors from "./errors.ts";

const NEWLINE = 0x0a;
const HEAD = /^\{"crc":(\d+),/;

/** A line, and where it starts. */
export interface Line {
  readonly offset: number;
  readonly value: unknown;
}

/** Lines of a file, and how many of its bytes they take. */
export interface Content {
  readonly lines: readonly Line[];
  readonly length: number;
}

/** Writes a line. */
export function encode(number: number, value: unknown): Uint8Array {
  const rest = `"number":${number},"value":${JSON.stringify(value)}}`;
  return Buffer.from(`{"crc":${zlib.crc32(rest)},${rest}\n`);
}

/** Reads the lines of `file`. A last line that was cut off, or in which a
 * stretch was never written, is left out: it was not yet synced. Any other
 * damage throws. */
export function decode(file: string, bytes: Uint8Array): Content {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const lines: Line[] = [];
  let offset = 0;
  while (offset < buffer.length) {
    const found = buffer.indexOf(NEWLINE, offset);
    const end = found < 0 ? buffer.length : found;
    const text = buffer.subarray(offset, end);
    const value = parse(text, lines.length);
    const isLast = end + 1 >= buffer.length;
    const isTorn = found < 0 || (value === undefined && text.includes(0));
    if (isLast && isTorn) break;
    if (value === undefined) throw damaged(file, offset);
    lines.push({ offset, value });
    offset = end + 1;
  }
  return { lines, length: offset };
}

/** The error about damage at a place in a file. */
export function damaged(file: string, offset: number): errors.LogError {
  return new errors.LogError(
    "damaged",
    `${file} is damaged at byte ${offset}; ` +
      "move the data folder away so that this host joins as a new replica",
  );
}

function parse(text: Buffer, number: number): unknown {
  const head = HEAD.exec(text.subarray(0, 24).toString("latin1"));
  if (head === null) return undefined;
  const rest = text.subarray(head[0].length);
  if (zlib.crc32(rest) !== Number(head[1])) return undefined;
  const line = JSON.parse(`{${rest.toString("utf8")}`);
  return line.number === number ? line.value : undefined;
}
