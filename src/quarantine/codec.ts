/** Suspects on their way to another host: times as ages, since clocks differ.
 * @module */

import type * as schema from "../schema/fleet_types.ts";
import * as suspects from "./suspect.ts";

/** Most crashes in a message: more than ever count. */
const MOST = 64;

/** A record as a message carries it. */
export function encode(
  { fingerprint, crashes, acquittals, trials }: suspects.Suspect,
  now: number,
): schema.Suspect {
  return {
    fingerprint,
    crashes: crashes.slice(0, MOST).map(({ endpoint, at, isRefuted }) => ({
      endpoint,
      age: Math.max(0, Math.round(now - at)),
      ...(isRefuted && { refuted: true }),
    })),
    acquittals,
    trials,
  };
}

/** Records as a message carries them. */
export function encodeAll(
  told: readonly suspects.Suspect[],
  now: number,
): schema.Suspect[] {
  return told.map((suspect) => encode(suspect, now));
}

/** A record out of a message. */
export function decode(
  { fingerprint, crashes, acquittals, trials }: schema.Suspect,
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
  });
}
