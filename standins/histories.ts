/** Made-up inspection histories of hulls.
 * @module */

import type * as random from "../src/runtime/random.ts";
import * as text from "./text.ts";

/** One vessel's history, and what a stand-in answers to it. */
export interface History {
  vessel: string;
  /** Names the history wherever it is spoken of. */
  file: string;
  text: string;
  expected: string;
}

/** How long a history is, and the answer to it. */
export interface Size {
  inspections: number;
  /** Tokens of the answer. */
  tokens: number;
}

const VESSELS = ["MV Umubano", "MV Ingagi", "Amahoro III", "Kivu Pearl"];
const SECTIONS = ["bow thruster", "keel", "port strake", "sea chest", "rudder"];
const FINDINGS = [
  "soft growth, two millimetres",
  "mussels in patches",
  "paint lifted along the weld",
  "clean",
  "grating loose, one bolt missing",
];
const MARKER_DIGITS = 12;

/** Writes a history; the same random numbers give the same history. */
export function write(source: random.Random, size: Size): History {
  const vessel = pick(source, VESSELS);
  const marker = { id: hex(source), length: size.tokens };
  const file = text.write(marker);
  const lines = [`Vessel ${vessel}, file ${file}`];
  for (let pos = 1; pos <= size.inspections; pos++) {
    const section = pick(source, SECTIONS);
    lines.push(`Inspection ${pos}: ${section}: ${pick(source, FINDINGS)}.`);
  }
  const answer = { owner: marker.id, length: size.tokens };
  return { vessel, file, text: lines.join("\n"), expected: text.whole(answer) };
}

function pick(source: random.Random, from: readonly string[]): string {
  return from[source.below(from.length)];
}

function hex(source: random.Random): string {
  const digits = Array.from(
    { length: MARKER_DIGITS },
    () => source.below(16).toString(16),
  );
  return digits.join("");
}
