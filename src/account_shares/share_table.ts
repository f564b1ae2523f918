/** The limits of one service on one host, as buckets of accounts.
 * @module */

import type * as division from "./division.ts";
import * as meters from "./meter.ts";
import * as shareBuckets from "./share_bucket.ts";

/** Time for which a bucket is kept once its account is no longer limited, so
 * that a debt outlasts a moment in which the account asked for little. */
const BUCKET_RETENTION_MS = 2000;

/** Limits as received. */
export interface Limits {
  readonly limits: readonly division.AccountLimit[];
  /** Capacity that they are derived from, in cost per second. */
  readonly capacity?: number;
}

interface Entry {
  readonly bucket: shareBuckets.ShareBucket;
  limitedAt: number;
}

/** Limits in force. Mutable. */
export class ShareTable {
  readonly #entries = new Map<string, Entry>();
  /** Keys of the flows that are limited now. */
  #limited: ReadonlySet<string> = new Set();
  #updatedAt = -Infinity;
  #capacity?: number;

  static create(): ShareTable {
    return new ShareTable();
  }

  /** Number of limited flows. */
  get size(): number {
    return this.#limited.size;
  }

  /** Capacity that the limits are derived from. */
  get capacity(): number | undefined {
    return this.#capacity;
  }

  /** Milliseconds since the limits were received. */
  age(now: number): number {
    return now - this.#updatedAt;
  }

  /** Replaces all limits. */
  update({ limits, capacity }: Limits, now: number): void {
    this.#updatedAt = now;
    this.#capacity = capacity;
    this.#limited = new Set(limits.map(meters.keyOf));
    for (const limit of limits) {
      const entry = this.#entryOf(limit, now);
      entry.limitedAt = now;
      entry.bucket.setRate(limit.rate, now);
    }
    for (const [key, { limitedAt }] of this.#entries) {
      if (now - limitedAt > BUCKET_RETENTION_MS) this.#entries.delete(key);
    }
  }

  /** Bucket of a flow; undefined if the flow is not limited. */
  bucketOf(flow: meters.Flow): shareBuckets.ShareBucket | undefined {
    if (this.#limited.size === 0) return undefined;
    const key = meters.keyOf(flow);
    return this.#limited.has(key) ? this.#entries.get(key)!.bucket : undefined;
  }

  /** State for the state dump. */
  dump(now: number): unknown {
    return [...this.#limited].map((key) => {
      const { bucket } = this.#entries.get(key)!;
      return { flow: key, rate: bucket.rate, level: bucket.level(now) };
    });
  }

  #entryOf(limit: division.AccountLimit, now: number): Entry {
    const key = meters.keyOf(limit);
    const known = this.#entries.get(key);
    if (known !== undefined) return known;
    const bucket = shareBuckets.ShareBucket.create(limit.rate, now);
    const created = { bucket, limitedAt: now };
    this.#entries.set(key, created);
    return created;
  }
}
