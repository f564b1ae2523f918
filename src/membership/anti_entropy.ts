/** Comparison of two copies of a digest map: hashes of groups, then of the
 * buckets of those that differ, then the entries of differing buckets.
 * @module */

import * as digestMap from "./digest_map.ts";

/** Hashes of all groups, or of the buckets of one group. */
export interface Compare {
  type: "compare";
  group?: number;
  hashes: string[];
}

/** All that the sender knows in some buckets. */
export interface Entries<T> {
  type: "entries";
  buckets: number[];
  news: T[];
  reply: boolean;
}

/** How entries are ordered and sent. */
export interface SyncOptions<T> {
  /** Above 0 when `left` replaces `right`. */
  compare(left: T, right: T): number;
  /** Whether a host that lacks the entry needs it. */
  isLive(entry: T): boolean;
  /** Most entries in one message, unless one bucket holds more. */
  maxEntries: number;
}

type Map<T extends digestMap.Entry> = digestMap.DigestMap<T>;

/** First message of a comparison. */
export function firstMessage<T extends digestMap.Entry>(map: Map<T>): Compare {
  return { type: "compare", hashes: map.hashes() };
}

/** Answer to hashes: finer ones of groups that differ, then entries. */
export function answer<T extends digestMap.Entry>(
  map: Map<T>,
  { group, hashes }: Compare,
  { maxEntries: limit }: SyncOptions<T>,
): (Compare | Entries<T>)[] {
  const differing = map.differing(hashes, group);
  if (group === undefined) {
    return differing.map((pos) => ({
      type: "compare",
      group: pos,
      hashes: map.hashes(pos),
    }));
  }
  const buckets = differing.map((pos) => group * digestMap.FANOUT + pos);
  return pack(map, buckets, limit);
}

/** What this copy has newer than the entries that were received. */
export function newerEntries<T extends digestMap.Entry>(
  map: Map<T>,
  { buckets, news }: Pick<Entries<T>, "buckets" | "news">,
  { compare, isLive }: SyncOptions<T>,
): T[] {
  const theirs = new Map(news.map((entry) => [entry.id, entry]));
  return buckets.flatMap((pos) => map.bucket(pos)).filter((entry) => {
    const other = theirs.get(entry.id);
    return other === undefined ? isLive(entry) : compare(entry, other) > 0;
  });
}

/** Cuts a list into parts of at most `limit`. */
export function chunk<T>(list: readonly T[], limit: number): T[][] {
  const cut: T[][] = [];
  for (let pos = 0; pos < list.length; pos += limit) {
    cut.push(list.slice(pos, pos + limit));
  }
  return cut;
}

function pack<T extends digestMap.Entry>(
  map: Map<T>,
  buckets: readonly number[],
  limit: number,
): Entries<T>[] {
  const packed: Entries<T>[] = [];
  for (const pos of buckets) {
    const news = map.bucket(pos);
    let last = packed.at(-1);
    if (last === undefined || last.news.length + news.length > limit) {
      last = { type: "entries", buckets: [], news: [], reply: true };
      packed.push(last);
    }
    last.buckets.push(pos);
    last.news.push(...news);
  }
  return packed;
}
