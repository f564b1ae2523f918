/** One version of the configuration, packed from the text that operators sent.
 * @module */

import * as crypto from "node:crypto";
import * as configurations from "../../configuration/mod.ts";

/** One version; `version` is 0 before the first. */
export interface ConfigurationVersion {
  readonly version: number;
  /** The whole configuration as it was sent, packed. */
  readonly document: string;
  /** Short mark of the text. */
  readonly digest: string;
}

/** What became of an order: a version is accepted, or the same content was
 * there already, or a later one is in force; or other content holds the same
 * version, which is a conflict. */
export type ReplaceVerdict = "accepted" | "known" | "older" | "conflict";

/** Before the first order. */
export const NO_VERSION: ConfigurationVersion = {
  version: 0,
  document: "",
  digest: "",
};

/** A version out of the text that an operator sent. */
export function packVersion(
  version: number,
  text: string,
): ConfigurationVersion {
  const document = configurations.compress(text);
  const digest = crypto.createHash("sha256").update(text).digest("base64url")
    .slice(0, DIGEST_LENGTH);
  return { version, document, digest };
}

/** Characters of a mark: 132 bits, which no two documents share. */
const DIGEST_LENGTH = 22;

/** What an order would lead to. */
export function replaceVerdict(
  state: ConfigurationVersion,
  { version, digest }: Pick<ConfigurationVersion, "version" | "digest">,
): ReplaceVerdict {
  if (version > state.version) return "accepted";
  if (version < state.version) return "older";
  return digest === state.digest ? "known" : "conflict";
}
