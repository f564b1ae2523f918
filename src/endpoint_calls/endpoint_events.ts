/** Events that endpoints publish, checked.
 * @module */

/** Load as an endpoint reports it. */
export interface LoadReport {
  /** Milliseconds of the endpoint's own clock. */
  at: number;
  running: number;
  waiting: number;
  kvUsed: number;
}

/** Change of an engine's prefix cache. */
export interface CacheReport {
  sequence: number;
  stored: readonly string[];
  removed: readonly string[];
}

/** Reads a load report; undefined when it is malformed. */
export function parseLoad(data: string): LoadReport | undefined {
  const read = parse(data);
  const { at, running, waiting, kvUsed = 0 } = read;
  if (!isNumber(at) || !isAmount(running) || !isAmount(waiting)) {
    return undefined;
  }
  if (!isAmount(kvUsed)) return undefined;
  return { at, running, waiting, kvUsed: Math.min(1, kvUsed) };
}

/** Reads a change of a cache; undefined when it is malformed. */
export function parseCache(data: string): CacheReport | undefined {
  const { sequence, stored = [], removed = [] } = parse(data);
  if (!Number.isSafeInteger(sequence)) return undefined;
  if (!areHashes(stored) || !areHashes(removed)) return undefined;
  return { sequence: sequence as number, stored, removed };
}

function parse(data: string): Record<string, unknown> {
  try {
    const read: unknown = JSON.parse(data);
    return typeof read === "object" && read !== null ? { ...read } : {};
  } catch {
    return {};
  }
}

function isNumber(value: unknown): value is number {
  return typeof value === "number" && Number.isFinite(value);
}

function isAmount(value: unknown): value is number {
  return isNumber(value) && value >= 0;
}

function areHashes(value: unknown): value is string[] {
  return Array.isArray(value) &&
    value.every((each) => typeof each === "string");
}
