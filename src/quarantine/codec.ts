/** Conversion of crash records to and from messages. Times are sent as ages,
 * since clocks differ between hosts.
 * @module */

import type * as schema from "../schema/fleet_types.ts";
import * as suspects from "./suspect.ts";

/** Maximum number of crashes in a message: more than ever count. */
const MAX_CRASHES = 64;

/** Converts a record for a message. */
export function encode(
  { fingerprint, crashes, acquittals, trials, answers }: suspects.Suspect,
  now: number,
): schema.Suspect {
  return {
    fingerprint,
    crashes: crashes.slice(0, MAX_CRASHES).map((
      { endpoint, at, isRefuted },
    ) => ({
      endpoint,
      age: Math.max(0, Math.round(now - at)),
      ...(isRefuted && { refuted: true }),
    })),
    acquittals,
    trials,
    ...(answers > 0 && { answers }),
  };
}

/** Converts several records for a message. */
export function encodeAll(
  records: readonly suspects.Suspect[],
  now: number,
): schema.Suspect[] {
  return records.map((suspect) => encode(suspect, now));
}

/** Converts a record from a message. */
export function decode(
  { fingerprint, crashes, acquittals, trials, answers = 0 }: schema.Suspect,
  now: number,
): suspects.Suspect {
  return suspects.Suspect.of({
    fingerprint,
    crashes: crashes.map(({ endpoint, age, refuted = false }) => ({
      endpoint,
      at: now - age,
      isRefuted: refuted,
    })),
    acquittals,
    trials,
    answers,
  });
}
