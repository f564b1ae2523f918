/** Single requests, outside of a load.
 * @module */

import * as crypto from "node:crypto";
import type * as schema from "../../src/schema/experiment_types.ts";
import type * as plan from "../../standins/experiment/plan.ts";
import * as text from "../../standins/text.ts";
import * as sites from "./site.ts";

const ID_BYTES = 6;
/** Tokens of an answer whose entry does not bound them. */
const TOKENS = 1;

/** A request of one kind of Kivu's mix, with its own marker. */
export function create(
  kind: string,
  changes: Partial<schema.Entry> = {},
): plan.Planned {
  const [found] = sites.kivuMix().filter((entry) => entry.kind === kind);
  const entry = { ...found, ...changes };
  const id = crypto.randomBytes(ID_BYTES).toString("hex");
  const marker = { id, length: entry.maxTokens ?? TOKENS };
  return { marker, at: 0, entry, input: { text: text.write(marker) } };
}
