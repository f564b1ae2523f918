/** The origin of a stream, and the key under which hosts find it.
 * @module */

import * as crypto from "node:crypto";

/** Where a stream began. */
export interface Origin {
  readonly service: string;
  /** Version of the software of the endpoint that began it. */
  readonly version: string;
  /** Host that relayed its first event. */
  readonly host: string;
  /** Time of that event, by the clock of this host. */
  readonly begunAt: number;
}

/** What identifies a stream. Callers make up the ids of attempts, so two
 * accounts may use the same one. */
export interface StreamIdentity {
  /** The attempt that received the first event. */
  readonly attempt: string;
  /** Client account; absent on a public route. */
  readonly account?: string;
  readonly route: string;
}

/** Length of a key in characters: 132 bits, for which collisions are
 * infeasible. */
const KEY_LENGTH = 22;

/** Returns the key of a stream. */
export function keyOf({ attempt, account, route }: StreamIdentity): string {
  return crypto.createHash("sha256")
    .update(JSON.stringify([account ?? null, route, attempt]))
    .digest("base64url")
    .slice(0, KEY_LENGTH);
}

/** Whether two origins name the same service and version. */
export function isSame(
  one: Pick<Origin, "service" | "version">,
  other: Pick<Origin, "service" | "version">,
): boolean {
  return one.service === other.service && one.version === other.version;
}
