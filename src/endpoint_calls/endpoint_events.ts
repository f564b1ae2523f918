/** Parses and validates events that endpoints publish.
 * @module */

/** Load report of an endpoint. */
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

/** Parses a load report; undefined when it is malformed. */
export function parseLoad(data: string): LoadReport | undefined {
  const read = parse(data);
  const { at, running, waiting, kvUsed = 0 } = read;
  if (!isNumber(at) || !isNonNegative(running) || !isNonNegative(waiting)) {
    return undefined;
  }
  if (!isNonNegative(kvUsed)) return undefined;
  return { at, running, waiting, kvUsed: Math.min(1, kvUsed) };
}

/** Parses a cache change; undefined when it is malformed. */
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

function isNonNegative(value: unknown): value is number {
  return isNumber(value) && value >= 0;
}

function areHashes(value: unknown): value is string[] {
  return Array.isArray(value) &&
    value.every((each) => typeof each === "string");
}
