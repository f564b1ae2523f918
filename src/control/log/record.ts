/** Line format of the journal's files: JSON with a checksum and a line number.
 * @module */

import * as zlib from "node:zlib";
import * as errors from "./errors.ts";

const NEWLINE = 0x0a;
const CHECKSUM_FIELD = /^\{"crc":(\d+),/;

/** Decoded line, and its byte offset in the file. */
export interface Line {
  readonly offset: number;
  readonly value: unknown;
}

/** Valid lines of a file, and their total length in bytes. */
export interface Content {
  readonly lines: readonly Line[];
  readonly length: number;
}

/** Encodes a line. */
export function encode(number: number, value: unknown): Uint8Array {
  const rest = `"number":${number},"value":${JSON.stringify(value)}}`;
  return Buffer.from(`{"crc":${zlib.crc32(rest)},${rest}\n`);
}

/** Decodes the lines of `file`. A last line that is truncated or has a
 * zero-filled range is omitted, because it was never synced. Any other
 * corruption throws. */
export function decode(file: string, bytes: Uint8Array): Content {
  const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
  const lines: Line[] = [];
  let offset = 0;
  while (offset < buffer.length) {
    const newline = buffer.indexOf(NEWLINE, offset);
    const end = newline < 0 ? buffer.length : newline;
    const text = buffer.subarray(offset, end);
    const value = parse(text, lines.length);
    const isLast = end + 1 >= buffer.length;
    const isTorn = newline < 0 || (value === undefined && text.includes(0));
    if (isLast && isTorn) break;
    if (value === undefined) throw damaged(file, offset);
    lines.push({ offset, value });
    offset = end + 1;
  }
  return { lines, length: offset };
}

/** Creates the error for a corrupt line at a byte offset of a file. */
export function damaged(file: string, offset: number): errors.LogError {
  return new errors.LogError(
    "damaged",
    `${file} is damaged at byte ${offset}; ` +
      "move the data folder away so that this host joins as a new replica",
  );
}

function parse(text: Buffer, number: number): unknown {
  const checksum = CHECKSUM_FIELD.exec(text.subarray(0, 24).toString("latin1"));
  if (checksum === null) return undefined;
  const rest = text.subarray(checksum[0].length);
  if (zlib.crc32(rest) !== Number(checksum[1])) return undefined;
  const line = JSON.parse(`{${rest.toString("utf8")}`);
  return line.number === number ? line.value : undefined;
}
