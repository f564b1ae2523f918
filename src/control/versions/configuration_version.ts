/** Versions of the configuration, compressed from the text that operators sent.
 * @module */

import * as crypto from "node:crypto";
import * as configurations from "../../configuration/mod.ts";

/** A version of the configuration; `version` is 0 before the first. */
export interface ConfigurationVersion {
  readonly version: number;
  /** The whole configuration as it was sent, compressed. */
  readonly document: string;
  /** Truncated SHA-256 hash of the text. */
  readonly digest: string;
}

/** Outcome of a replace command: the version is accepted; or it is known
 * already, with the same content; or it is older than the current one; or the
 * current version has the same number with other content, which is a
 * conflict. */
export type ReplaceVerdict = "accepted" | "known" | "older" | "conflict";

/** State before the first replace command. */
export const NO_VERSION: ConfigurationVersion = {
  version: 0,
  document: "",
  digest: "",
};

/** Creates a version from the text that an operator sent. */
export function packVersion(
  version: number,
  text: string,
): ConfigurationVersion {
  const document = configurations.compress(text);
  const digest = crypto.createHash("sha256").update(text).digest("base64url")
    .slice(0, DIGEST_LENGTH);
  return { version, document, digest };
}

/** Base64 characters of a digest: 132 bits, so that collisions are not to be
 * expected. */
const DIGEST_LENGTH = 22;

/** Returns the outcome of replacing the `current` version. */
export function replaceVerdict(
  current: ConfigurationVersion,
  { version, digest }: Pick<ConfigurationVersion, "version" | "digest">,
): ReplaceVerdict {
  if (version > current.version) return "accepted";
  if (version < current.version) return "older";
  return digest === current.digest ? "known" : "conflict";
}
