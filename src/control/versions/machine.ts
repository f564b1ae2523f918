/** State machine of the log: the newest version of the configuration, packed
 * from the text that operators sent. The highest version wins.
 * @module */

import * as crypto from "node:crypto";
import * as configurations from "../../configuration/mod.ts";
import type * as log from "../log/mod.ts";

/** One version; `version` is 0 before the first. */
export interface Edition {
  readonly version: number;
  /** The whole configuration as it was sent, packed. */
  readonly document: string;
  /** Short mark of the text. */
  readonly digest: string;
}

/** What became of an order: a version is accepted, or the same content was
 * there already, or a later one is in force; or other content holds the same
 * version, which is a conflict. */
export type Verdict = "accepted" | "known" | "older" | "conflict";

/** Answer of the machine. */
export interface Reply {
  readonly verdict: Verdict;
  /** Version that is now in force. */
  readonly version: number;
}

/** Before the first order. */
export const NONE: Edition = { version: 0, document: "", digest: "" };

/** A version out of the text that an operator sent. */
export function editionOf(version: number, text: string): Edition {
  const document = configurations.pack(text);
  const digest = crypto.createHash("sha256").update(text).digest("base64url")
    .slice(0, DIGEST_LENGTH);
  return { version, document, digest };
}

/** Characters of a mark: 132 bits, which no two documents share. */
const DIGEST_LENGTH = 22;

/** The command that orders a version. */
export function command(id: string, edition: Edition): log.Command {
  return { id, type: "replace", ...edition };
}

/** The machine of the log. */
export const machine: log.Machine<Edition, Reply> = {
  empty: NONE,
  apply(state, command) {
    const edition = orderedBy(command);
    const verdict = judge(state, edition);
    const next = verdict === "accepted" ? edition : state;
    return { state: next, reply: { verdict, version: next.version } };
  },
  toJSON: (state) => state,
  fromJSON: (json) => json as Edition,
};

/** What an order would lead to. */
export function judge(
  state: Edition,
  { version, digest }: Pick<Edition, "version" | "digest">,
): Verdict {
  if (version > state.version) return "accepted";
  if (version < state.version) return "older";
  return digest === state.digest ? "known" : "conflict";
}

function orderedBy(command: log.Command): Edition {
  const version = command.version as number;
  const document = command.document as string;
  const digest = command.digest as string;
  return { version, document, digest };
}
