/** What a run of real processes takes and gives.
 * @module */

/** What all runs take. */
export interface Options {
  /** Path of the fleet's settings file. */
  settings: string;
  /** How long a run that has no end of its own lasts. */
  minutes: number;
}

/** What a run found. */
export interface Finding {
  /** Times that something happened which must never happen, by name. */
  breaches: Readonly<Record<string, number>>;
  figures: unknown;
}

/** Whether nothing happened that must never happen. */
export function holds({ breaches }: Finding): boolean {
  return Object.values(breaches).every((count) => count === 0);
}
