/** Work promised to each service: what waits, what runs, and what admitted
 * requests will still ask of later stages.
 * @module */

import type * as request from "../request/mod.ts";
import * as rate from "./decaying_rate.ts";
import * as weight from "./weight.ts";

/** Accounts, and kinds of one, that are weighed one by one; with more, all
 * work counts as ahead. */
const MOST_WEIGHED = 64;

/** Milliseconds over which arrivals are averaged. */
const RATE_SPAN = 5000;

/** Rounds of approximation of a wait that arrivals lengthen. */
const ROUNDS = 4;

/** Kinds with so many times the allowance of another wait for that one. */
const LONGER = 2;

interface Kind {
  weight: number;
  work: number;
  /** What the work counts for among the kinds of its account. */
  charge: number;
  items: number;
  /** Milliseconds that the latest request had until its deadline. */
  allowance: number;
  arrivals: rate.DecayingRate;
}

interface Account {
  weight: number;
  work: number;
  arrivals: rate.DecayingRate;
  kinds: Map<string, Kind>;
}

interface Pool {
  slots: number;
  work: number;
  accounts: Map<string, Account>;
}

/** Promised work by service and flow; changed in place. */
export class Backlog {
  #policies: request.Policies;
  readonly #pools = new Map<string, Pool>();

  private constructor(policies: request.Policies) {
    this.#policies = policies;
  }

  static create(policies: request.Policies = new Map()): Backlog {
    return new Backlog(policies);
  }

  setPolicies(policies: request.Policies): void {
    this.#policies = policies;
    for (const { accounts } of this.#pools.values()) {
      for (const [name, account] of accounts) {
        account.weight = weight.ofAccount(policies, name);
        for (const [name, kind] of account.kinds) {
          kind.weight = weight.ofKind(policies, name);
        }
      }
    }
  }

  /** Sets how many calls the usable endpoints of a service run side by side. */
  setSlots(service: string, slots: number): void {
    this.#poolOf(service).slots = slots;
  }

  slots(service: string): number {
    return this.#pools.get(service)?.slots ?? 0;
  }

  /** Milliseconds of a slot promised to a service. */
  work(service: string): number {
    return this.#pools.get(service)?.work ?? 0;
  }

  /** Promises work to a service. */
  add(
    service: string,
    flow: weight.Flow,
    promise: { work: number; now: number; allowance?: number },
  ): void {
    const { work, now, allowance = 0 } = promise;
    const pool = this.#poolOf(service);
    const account = this.#accountOf(pool, flow.account);
    const kind = this.#kindOf(account, flow.kind);
    kind.items++;
    kind.allowance = allowance;
    kind.arrivals.add(work, now);
    account.arrivals.add(work, now);
    change({ pool, account, kind }, work, weight.chargeOf(work));
  }

  /** Takes off what `add` put on, with the same work. */
  remove(service: string, flow: weight.Flow, work: number): void {
    const pool = this.#pools.get(service);
    const account = pool?.accounts.get(flow.account);
    const kind = account?.kinds.get(flow.kind);
    if (pool === undefined || account === undefined || kind === undefined) {
      return;
    }
    kind.items--;
    change({ pool, account, kind }, -work, -weight.chargeOf(work));
    if (kind.items === 0) account.kinds.delete(flow.kind);
    if (account.kinds.size === 0) pool.accounts.delete(flow.account);
    // Sums of fractions leave a rest.
    if (pool.accounts.size === 0) pool.work = 0;
  }

  /** Milliseconds until the work of `flow` promised so far has left, when
   * slots are shared by weight and others go on to arrive as of late; infinite
   * without slots. */
  queueingDelay(service: string, flow: weight.Flow, now: number): number {
    const pool = this.#pools.get(service);
    if (pool === undefined || pool.slots === 0) return Infinity;
    const account = pool.accounts.get(flow.account);
    const kind = account?.kinds.get(flow.kind);
    if (account === undefined || kind === undefined) return 0;
    let wait = 0;
    for (let round = 0; round < ROUNDS; round++) {
      const within = aheadInAccount(account, kind, { wait, now });
      const own = { account, work: within, allowance: kind.allowance };
      const ahead = aheadInPool(pool, own, { wait, now });
      wait = ahead / pool.slots;
    }
    return wait;
  }

  toJSON() {
    const entries = [...this.#pools].map(([service, pool]) => [service, {
      slots: pool.slots,
      work: pool.work,
      accounts: pool.accounts.size,
    }]);
    return Object.fromEntries(entries);
  }

  #poolOf(service: string): Pool {
    let pool = this.#pools.get(service);
    if (pool === undefined) {
      pool = { slots: 0, work: 0, accounts: new Map() };
      this.#pools.set(service, pool);
    }
    return pool;
  }

  #accountOf(pool: Pool, name: string): Account {
    let account = pool.accounts.get(name);
    if (account === undefined) {
      const share = weight.ofAccount(this.#policies, name);
      const arrivals = rate.DecayingRate.create(RATE_SPAN);
      account = { weight: share, work: 0, arrivals, kinds: new Map() };
      pool.accounts.set(name, account);
    }
    return account;
  }

  #kindOf(account: Account, name: string): Kind {
    let kind = account.kinds.get(name);
    if (kind === undefined) {
      const share = weight.ofKind(this.#policies, name);
      const arrivals = rate.DecayingRate.create(RATE_SPAN);
      const empty = { work: 0, charge: 0, items: 0, allowance: 0 };
      kind = { ...empty, weight: share, arrivals };
      account.kinds.set(name, kind);
    }
    return kind;
  }
}

function change(
  { pool, account, kind }: { pool: Pool; account: Account; kind: Kind },
  work: number,
  charge: number,
): void {
  pool.work += work;
  account.work += work;
  kind.work += work;
  kind.charge += charge;
}

/** Work of an account done before the last of `own` is: while that is served,
 * each other kind gets its share, but no more than it has and will have. */
function aheadInAccount(
  account: Account,
  own: Kind,
  { wait, now }: { wait: number; now: number },
): number {
  if (account.kinds.size > MOST_WEIGHED) return account.work;
  const span = spanOf(own);
  let sum = own.work;
  for (const kind of account.kinds.values()) {
    if (kind === own) continue;
    const share = kind.work * span / spanOf(kind);
    sum += Math.min(share, kind.work + wait * kind.arrivals.at(now));
  }
  return sum;
}

/** The same among accounts, while `work` of one of them is served. */
function aheadInPool(
  pool: Pool,
  own: { account: Account; work: number; allowance: number },
  by: { wait: number; now: number },
): number {
  if (pool.accounts.size > MOST_WEIGHED) return pool.work;
  const span = own.work / own.account.weight;
  let sum = own.work;
  for (const account of pool.accounts.values()) {
    if (account === own.account) continue;
    const most = pressing(account, own.allowance, by);
    sum += Math.min(most, span * account.weight);
  }
  return sum;
}

/** Work that an account has and will have, but for kinds with so much time
 * that they let a request with this allowance go first. */
function pressing(
  { kinds, work, arrivals }: Account,
  allowance: number,
  { wait, now }: { wait: number; now: number },
): number {
  if (kinds.size > MOST_WEIGHED) return work + wait * arrivals.at(now);
  let sum = 0;
  for (const kind of kinds.values()) {
    if (kind.allowance > LONGER * allowance) continue;
    sum += kind.work + wait * kind.arrivals.at(now);
  }
  return sum;
}

/** Virtual time that a kind's work takes. */
function spanOf({ charge, weight }: Kind): number {
  return Math.max(Number.MIN_VALUE, charge / weight);
}
