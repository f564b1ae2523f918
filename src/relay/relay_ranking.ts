/** The order in which other hosts are asked to relay a connection.
 * @module */

import type * as runtime from "../runtime/mod.ts";

/** How long a success or a failure of a host counts. */
const MEMORY_MS = 5000;
/** Results that are kept. */
const MAX_RESULTS = 4096;
/** Ranks by recent results, and of hosts in other data centres beside that;
 * hosts of one rank are asked in random order. */
const RANKS = {
  relayed: 0,
  unknown: 2,
  failed: 3,
  "failed-for-endpoint": 5,
} as const;
const REMOTE_RANK = 1;
/** Part of the orders in which an unknown host comes first, so that one host does
 * not relay everything. */
const EXPLORATION_RATIO = 0.1;

/** A host that may relay. */
export interface RelayHost {
  readonly host: string;
  readonly dataCentre: string;
}

/** Dependencies of a ranking. */
export interface RelayRankingOptions {
  readonly clock: runtime.Clock;
  readonly random: runtime.Random;
  readonly dataCentre: string;
}

type Result = keyof typeof RANKS;

/** Hosts by how they have relayed recently. Changed in place. */
export class RelayRanking {
  readonly #options: RelayRankingOptions;
  /** Last results, by host, and by host and endpoint. */
  readonly #results = new Map<string, { isSuccess: boolean; at: number }>();

  private constructor(options: RelayRankingOptions) {
    this.#options = options;
  }

  static create(options: RelayRankingOptions): RelayRanking {
    return new RelayRanking(options);
  }

  /** Records whether a host has relayed a connection to an endpoint. */
  record(host: string, endpoint: string, isSuccess: boolean): void {
    const at = this.#options.clock.now();
    this.#results.set(host, { isSuccess, at });
    this.#results.set(keyOf(host, endpoint), { isSuccess, at });
    this.#expire();
  }

  /** The hosts in the order in which to ask them for an endpoint. */
  order(endpoint: string, hosts: readonly RelayHost[]): string[] {
    const { random, dataCentre } = this.#options;
    const isExploring = random.next() < EXPLORATION_RATIO;
    return hosts
      .map(({ host, dataCentre: own }) => {
        const result = this.#resultOf(host, endpoint);
        const distance = own === dataCentre ? 0 : REMOTE_RANK;
        const rank = isExploring && result === "unknown"
          ? distance - RANKS.unknown
          : RANKS[result] + distance;
        return { host, rank: rank + random.next() };
      })
      .sort((a, b) => a.rank - b.rank)
      .map(({ host }) => host);
  }

  #resultOf(host: string, endpoint: string): Result {
    const forEndpoint = this.#recent(keyOf(host, endpoint));
    if (forEndpoint === false) return "failed-for-endpoint";
    const isSuccess = forEndpoint ?? this.#recent(host);
    if (isSuccess === undefined) return "unknown";
    return isSuccess ? "relayed" : "failed";
  }

  #recent(key: string): boolean | undefined {
    const known = this.#results.get(key);
    const { clock } = this.#options;
    const isRecent = known !== undefined &&
      clock.now() - known.at <= MEMORY_MS;
    return isRecent ? known.isSuccess : undefined;
  }

  /** Removes the oldest results. */
  #expire(): void {
    const [oldest] = this.#results.keys();
    if (this.#results.size > MAX_RESULTS) this.#results.delete(oldest);
  }
}

function keyOf(host: string, endpoint: string): string {
  return `${host} ${endpoint}`;
}
