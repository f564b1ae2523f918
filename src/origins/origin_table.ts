/** Table of the origins of streams, bounded in time and number.
 * @module */

import * as origins from "./origin.ts";

/** Most streams whose origins are kept; the oldest are evicted. */
const MAX_STREAM_COUNT = 20_000;

/** An origin, and for how long it is kept after its last use. */
export interface KeptOrigin {
  readonly origin: origins.Origin;
  /** Milliseconds. */
  readonly lifetime: number;
}

/** Two streams under one key have different origins: which one is meant is
 * unknown. */
export type Conflict = "conflicting";

interface Entry {
  readonly kept: KeptOrigin | Conflict;
  readonly lifetime: number;
  readonly expiresAt: number;
}

/** Origins by the keys of their streams; changed in place. */
export class OriginTable {
  readonly #maxCount: number;
  /** The one used longest ago comes first. */
  readonly #entries = new Map<string, Entry>();
  #evictedCount = 0;

  private constructor(maxCount: number) {
    this.#maxCount = maxCount;
  }

  static create({ maxCount = MAX_STREAM_COUNT } = {}): OriginTable {
    return new OriginTable(maxCount);
  }

  /** Number of streams. */
  get size(): number {
    return this.#entries.size;
  }

  /** Number of streams that were evicted before they expired. */
  get evictedCount(): number {
    return this.#evictedCount;
  }

  /** State for the state dump. */
  dump(): unknown {
    return { streams: this.size, evicted: this.#evictedCount };
  }

  /** Adds an origin. Returns whether the stream was not known with it. */
  put(stream: string, kept: KeptOrigin, now: number): boolean {
    const known = this.get(stream, now);
    if (known === "conflicting") return false;
    const isKnown = known !== undefined;
    const isConflict = isKnown && !origins.isSame(known.origin, kept.origin);
    if (isKnown && !isConflict) return false;
    this.#set(stream, isConflict ? "conflicting" : kept, {
      lifetime: kept.lifetime,
      now,
    });
    return true;
  }

  /** The origin of a stream, which is kept for another lifetime. */
  get(stream: string, now: number): KeptOrigin | Conflict | undefined {
    const entry = this.#entries.get(stream);
    if (entry === undefined || entry.expiresAt <= now) return undefined;
    this.#set(stream, entry.kept, { lifetime: entry.lifetime, now });
    return entry.kept;
  }

  /** Removes the streams that have not been used for their lifetime. */
  expire(now: number): void {
    for (const [stream, { expiresAt }] of this.#entries) {
      if (expiresAt <= now) this.#entries.delete(stream);
    }
  }

  #set(
    stream: string,
    kept: KeptOrigin | Conflict,
    { lifetime, now }: { lifetime: number; now: number },
  ): void {
    this.#entries.delete(stream);
    this.#entries.set(stream, { kept, lifetime, expiresAt: now + lifetime });
    if (this.#entries.size <= this.#maxCount) return;
    const [oldest] = this.#entries.keys();
    const isExpired = this.#entries.get(oldest)!.expiresAt <= now;
    if (!isExpired) this.#evictedCount++;
    this.#entries.delete(oldest);
  }
}
