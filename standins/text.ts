/** Deterministic contents: what a stand-in answers follows from the marker in
 * its input, so that a verifier can tell whose answer it is and whether it is
 * whole.
 * @module */

import * as crypto from "node:crypto";

/** Names one request of an experiment inside its input. */
export interface Marker {
  /** Twelve hex digits, unique in an experiment. */
  id: string;
  /** Tokens that the answer should have. */
  length: number;
}

/** An engine's answer: every token follows from these two. */
export interface Answer {
  owner: string;
  /** Tokens in the whole answer. */
  length: number;
}

/** Characters of a prefix block. */
export const BLOCK_CHARACTERS = 256;
/** Characters that count as one token. */
export const TOKEN_CHARACTERS = 4;

const MARKER = /#m-([0-9a-f]{12})-(\d{1,5})#/g;
const DEFAULT_LENGTH = 48;
const EMBEDDING_BASE = 16;
const ID_DIGITS = 12;

/** The text that stands for a marker in an input. */
export function write({ id, length }: Marker): string {
  return `#m-${id}-${length}#`;
}

/** Distinct markers in a text, in order of first appearance. */
export function find(text: string): Marker[] {
  const found = new Map<string, Marker>();
  for (const [, id, length] of text.matchAll(MARKER)) {
    if (!found.has(id)) found.set(id, { id, length: Number(length) });
  }
  return [...found.values()];
}

/** Owner of a text: its marker's id, `x` and a hash where several markers are
 * mixed, `t` and a hash where there is none. */
export function owner(text: string): string {
  const ids = find(text).map(({ id }) => id).sort();
  if (ids.length === 1) return ids[0];
  if (ids.length > 1) return `x${hash(ids.join())}`;
  return `t${hash(text)}`;
}

/** What an engine answers to a prompt. */
export function answer(prompt: string, maxTokens: number): Answer {
  const length = find(prompt)[0]?.length ?? DEFAULT_LENGTH;
  return {
    owner: owner(prompt),
    length: Math.max(1, Math.min(length, maxTokens)),
  };
}

/** Token `pos` of an answer; the last one starts with another letter. */
export function token({ owner, length }: Answer, pos: number): string {
  const letter = pos === length - 1 ? "z" : "w";
  return `${pos === 0 ? "" : " "}${letter}${pos}-${owner}`;
}

/** The whole text of an answer. */
export function whole(answer: Answer): string {
  let text = "";
  for (let pos = 0; pos < answer.length; pos++) text += token(answer, pos);
  return text;
}

/** Size of a text in tokens. */
export function size(text: string): number {
  return Math.ceil(text.length / TOKEN_CHARACTERS);
}

/** Chained hashes of the prefix blocks of a prompt, longest prefix last. */
export function prefix(prompt: string): string[] {
  const hashes: string[] = [];
  let last = "";
  const blocks = Math.floor(prompt.length / BLOCK_CHARACTERS);
  for (let block = 0; block < blocks; block++) {
    const start = block * BLOCK_CHARACTERS;
    last = hash(last + prompt.slice(start, start + BLOCK_CHARACTERS));
    hashes.push(last);
  }
  return hashes;
}

/** An embedding that carries the marker of its text: one number from 0 to 1
 * for each hex digit of the marker's id, then its length; 0 without one. */
export function embed(text: string): number[] {
  const { id, length } = find(text)[0] ??
    { id: hash(text).slice(0, ID_DIGITS), length: 0 };
  const digits = [...id].map((digit) => parseInt(digit, 16) / EMBEDDING_BASE);
  return [...digits, length];
}

/** The marker that an embedding carries, if any. */
export function unembed(embedding: readonly number[]): Marker | undefined {
  const length = Math.round(embedding[ID_DIGITS] ?? 0);
  if (length === 0) return undefined;
  const digits = embedding.slice(0, ID_DIGITS).map((value) =>
    Math.round(value * EMBEDDING_BASE).toString(16)
  );
  return { id: digits.join(""), length };
}

/** First 16 hex digits of SHA-256. */
export function hash(text: string): string {
  return crypto.createHash("sha256").update(text).digest("hex").slice(0, 16);
}
