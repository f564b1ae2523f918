/** Outstanding work of each service: queued and running calls, and the later
 * stages of admitted requests.
 * @module */

import type * as request from "../request/mod.ts";
import * as decayingRate from "./decaying_rate.ts";
import * as weight from "./weight.ts";

/** Maximum number of accounts, and of kinds of one account, whose shares are
 * computed one by one; with more, all work counts as ahead. */
const MAX_EXACT_COUNT = 64;

/** Decay time of the arrival rates. */
const RATE_DECAY_MS = 5000;

/** Fixed-point iterations for a delay that further arrivals extend. */
const DELAY_ITERATIONS = 4;

/** Ratio of a kind's allowance to another's above which it is deferred. */
const DEFERRAL_RATIO = 2;

/** Outstanding work of one kind of an account. */
interface KindBacklog {
  weight: number;
  work: number;
  /** Charge for the work among the kinds of its account. */
  charge: number;
  items: number;
  /** Milliseconds between the latest request's arrival and its deadline. */
  allowance: number;
  arrivals: decayingRate.DecayingRate;
}

/** Outstanding work of one account. */
interface AccountBacklog {
  weight: number;
  work: number;
  arrivals: decayingRate.DecayingRate;
  kinds: Map<string, KindBacklog>;
}

/** Slots of one service and the outstanding work for them. */
interface SlotPool {
  slots: number;
  work: number;
  accounts: Map<string, AccountBacklog>;
}

/** Outstanding work by service and flow; mutated in place. */
export class Backlog {
  #policies: request.Policies;
  readonly #pools = new Map<string, SlotPool>();

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

  /** Sets the concurrent calls that the usable endpoints of a service run. */
  setSlots(service: string, slots: number): void {
    this.#poolOf(service).slots = slots;
  }

  slots(service: string): number {
    return this.#pools.get(service)?.slots ?? 0;
  }

  /** Outstanding work of a service, in slot milliseconds. */
  work(service: string): number {
    return this.#pools.get(service)?.work ?? 0;
  }

  /** Adds work to a service's backlog. */
  add(
    service: string,
    flow: weight.Flow,
    added: { work: number; now: number; allowance?: number },
  ): void {
    const { work, now, allowance = 0 } = added;
    const pool = this.#poolOf(service);
    const account = this.#accountOf(pool, flow.account);
    const kind = this.#kindOf(account, flow.kind);
    kind.items++;
    kind.allowance = allowance;
    kind.arrivals.add(work, now);
    account.arrivals.add(work, now);
    addWork({ pool, account, kind }, work, weight.chargeOf(work));
  }

  /** Reverts an `add` with the same `work`. */
  remove(service: string, flow: weight.Flow, work: number): void {
    const pool = this.#pools.get(service);
    const account = pool?.accounts.get(flow.account);
    const kind = account?.kinds.get(flow.kind);
    if (pool === undefined || account === undefined || kind === undefined) {
      return;
    }
    kind.items--;
    addWork({ pool, account, kind }, -work, -weight.chargeOf(work));
    if (kind.items === 0) account.kinds.delete(flow.kind);
    if (account.kinds.size === 0) pool.accounts.delete(flow.account);
    // Rounding errors of the sum would otherwise remain.
    if (pool.accounts.size === 0) pool.work = 0;
  }

  /** Predicted milliseconds until the outstanding work of `flow` has been
   * served, if slots are shared by weight and other flows keep their recent
   * arrival rates; infinite without slots. */
  queueingDelay(service: string, flow: weight.Flow, now: number): number {
    const pool = this.#pools.get(service);
    if (pool === undefined || pool.slots === 0) return Infinity;
    const account = pool.accounts.get(flow.account);
    const kind = account?.kinds.get(flow.kind);
    if (account === undefined || kind === undefined) return 0;
    let delay = 0;
    for (let round = 0; round < DELAY_ITERATIONS; round++) {
      const within = aheadInAccount(account, kind, { delay, now });
      const own = { account, work: within, allowance: kind.allowance };
      const ahead = aheadInPool(pool, own, { delay, now });
      delay = ahead / pool.slots;
    }
    return delay;
  }

  toJSON() {
    const entries = [...this.#pools].map(([service, pool]) => [service, {
      slots: pool.slots,
      work: pool.work,
      accounts: pool.accounts.size,
    }]);
    return Object.fromEntries(entries);
  }

  #poolOf(service: string): SlotPool {
    let pool = this.#pools.get(service);
    if (pool === undefined) {
      pool = { slots: 0, work: 0, accounts: new Map() };
      this.#pools.set(service, pool);
    }
    return pool;
  }

  #accountOf(pool: SlotPool, name: string): AccountBacklog {
    let account = pool.accounts.get(name);
    if (account === undefined) {
      const share = weight.ofAccount(this.#policies, name);
      const arrivals = decayingRate.DecayingRate.create(RATE_DECAY_MS);
      account = { weight: share, work: 0, arrivals, kinds: new Map() };
      pool.accounts.set(name, account);
    }
    return account;
  }

  #kindOf(account: AccountBacklog, name: string): KindBacklog {
    let kind = account.kinds.get(name);
    if (kind === undefined) {
      const share = weight.ofKind(this.#policies, name);
      const arrivals = decayingRate.DecayingRate.create(RATE_DECAY_MS);
      const empty = { work: 0, charge: 0, items: 0, allowance: 0 };
      kind = { ...empty, weight: share, arrivals };
      account.kinds.set(name, kind);
    }
    return kind;
  }
}

function addWork(
  { pool, account, kind }: {
    pool: SlotPool;
    account: AccountBacklog;
    kind: KindBacklog;
  },
  work: number,
  charge: number,
): void {
  pool.work += work;
  account.work += work;
  kind.work += work;
  kind.charge += charge;
}

/** Work of an account that is served before the last of `own`. Meanwhile each
 * other kind gets its share, limited to its outstanding work and its expected
 * arrivals. */
function aheadInAccount(
  account: AccountBacklog,
  own: KindBacklog,
  { delay, now }: { delay: number; now: number },
): number {
  if (account.kinds.size > MAX_EXACT_COUNT) return account.work;
  const virtualTime = virtualTimeOf(own);
  let sum = own.work;
  for (const kind of account.kinds.values()) {
    if (kind === own) continue;
    const share = kind.work * virtualTime / virtualTimeOf(kind);
    sum += Math.min(share, kind.work + delay * kind.arrivals.at(now));
  }
  return sum;
}

/** Work of all accounts that is served before `own.work` of `own.account`. */
function aheadInPool(
  pool: SlotPool,
  own: { account: AccountBacklog; work: number; allowance: number },
  horizon: { delay: number; now: number },
): number {
  if (pool.accounts.size > MAX_EXACT_COUNT) return pool.work;
  const virtualTime = own.work / own.account.weight;
  let sum = own.work;
  for (const account of pool.accounts.values()) {
    if (account === own.account) continue;
    const urgent = urgentWork(account, own.allowance, horizon);
    sum += Math.min(urgent, virtualTime * account.weight);
  }
  return sum;
}

/** Outstanding work and expected arrivals of an account, without kinds that are
 * deferred in favour of a request with this allowance. */
function urgentWork(
  { kinds, work, arrivals }: AccountBacklog,
  allowance: number,
  { delay, now }: { delay: number; now: number },
): number {
  if (kinds.size > MAX_EXACT_COUNT) return work + delay * arrivals.at(now);
  let sum = 0;
  for (const kind of kinds.values()) {
    if (kind.allowance > DEFERRAL_RATIO * allowance) continue;
    sum += kind.work + delay * kind.arrivals.at(now);
  }
  return sum;
}

/** Virtual time that a kind's outstanding work takes. */
function virtualTimeOf({ charge, weight }: KindBacklog): number {
  return Math.max(Number.MIN_VALUE, charge / weight);
}
