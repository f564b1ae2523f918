/** Ledger of cost by stage, account and kind, with what was wasted, and the
 * budget for extra cost that the table grants.
 * @module */

import type * as request from "../request/mod.ts";
import * as weight from "./weight.ts";

/** What became of a call that took cost. `useful` gave the stage's result;
 * the others were paid on top: a failed call that was tried again, the loser
 * of a hedge, a call cancelled, and a result too late to matter. */
export type Category = "useful" | "retry" | "hedge" | "cancelled" | "late";

/** Cost of some calls. */
export interface Totals {
  calls: number;
  /** Milliseconds of endpoint slots. */
  time: number;
  inputTokens: number;
  outputTokens: number;
}

/** Cost by fate. */
export type CostByCategory = Record<Category, Totals>;

/** One call that ended. */
export interface Entry extends weight.Flow {
  service: string;
  stage: string;
  category: Category;
  /** As the endpoint reported it, or as estimated for a call without one. */
  usage: request.Usage;
}

/** Groups that the ledger sums by. */
export type Dimension = "stage" | "account" | "kind";

/** Extra cost that a flow may spend when no row says more: a share of its
 * useful cost. */
export const DEFAULT_SPEND_RATIO = 0.05;

/** Milliseconds of useful cost whose share a flow may save up. */
const SAVINGS = 60_000;

/** Milliseconds granted to a flow before it has any useful cost. */
const START = 1000;

/** Most names in one group; others are summed under `OTHERS`. */
const MOST_NAMES = 4096;

/** Name for what passes `MOST_NAMES`. */
const OTHERS = "others";

/** Sums of all calls; `record` and `spend` change it in place. */
export class CostLedger {
  #policies: request.Policies;
  readonly #groups: Record<Dimension, Map<string, CostByCategory>> = {
    stage: new Map(),
    account: new Map(),
    kind: new Map(),
  };
  readonly #budgets = new Map<string, number>();

  private constructor(policies: request.Policies) {
    this.#policies = policies;
  }

  static create(policies: request.Policies = new Map()): CostLedger {
    return new CostLedger(policies);
  }

  setPolicies(policies: request.Policies): void {
    this.#policies = policies;
  }

  /** Adds a call that ended; useful cost earns budget for extra cost. */
  record(entry: Entry): void {
    const { service, stage, account, kind, category: fate, usage } = entry;
    this.#add("stage", `${service} ${stage}`, fate, usage);
    this.#add("account", account, fate, usage);
    this.#add("kind", kind, fate, usage);
    if (fate !== "useful") return;
    const earned = this.#spendOf(entry) * usage.engineTime;
    this.#setBudget(entry, this.budget(entry) + earned);
  }

  /** Takes `time` predicted milliseconds of extra cost from the budget of a
   * flow; returns false, and takes nothing, when it does not have so much. */
  spend(flow: weight.Flow, time: number): boolean {
    const budget = this.budget(flow);
    if (budget < time) return false;
    this.#setBudget(flow, budget - time);
    return true;
  }

  /** Milliseconds of extra cost that a flow may spend now. */
  budget(flow: weight.Flow): number {
    const budget = this.#budgets.get(this.#budgetName(flow));
    return budget ?? (this.#spendOf(flow) > 0 ? START : 0);
  }

  /** Cost of one name of a group. */
  totals(group: Dimension, name: string): CostByCategory | undefined {
    return this.#groups[group].get(name);
  }

  toJSON(): Record<Dimension, Record<string, CostByCategory>> {
    return {
      stage: Object.fromEntries(this.#groups.stage),
      account: Object.fromEntries(this.#groups.account),
      kind: Object.fromEntries(this.#groups.kind),
    };
  }

  /** Share of extra cost; the lower one when both rows name one. */
  #spendOf(flow: weight.Flow): number {
    const account = this.#policies.get(`account/${flow.account}`)?.spend;
    const kind = this.#policies.get(`kind/${flow.kind}`)?.spend;
    if (account === undefined) return kind ?? DEFAULT_SPEND_RATIO;
    return kind === undefined ? account : Math.min(account, kind);
  }

  #setBudget(flow: weight.Flow, budget: number): void {
    const most = Math.max(START, SAVINGS * this.#spendOf(flow));
    this.#budgets.set(this.#budgetName(flow), Math.min(most, budget));
  }

  #budgetName(flow: weight.Flow): string {
    const name = weight.nameOf(flow);
    const known = this.#budgets.has(name);
    return known || this.#budgets.size < MOST_NAMES ? name : OTHERS;
  }

  #add(
    group: Dimension,
    name: string,
    fate: Category,
    usage: request.Usage,
  ): void {
    const accounts = this.#groups[group];
    const full = !accounts.has(name) && accounts.size >= MOST_NAMES;
    const key = full ? OTHERS : name;
    let account = accounts.get(key);
    if (account === undefined) {
      account = createAccount();
      accounts.set(key, account);
    }
    const sum = account[fate];
    sum.calls++;
    sum.time += usage.engineTime;
    sum.inputTokens += usage.inputTokens;
    sum.outputTokens += usage.outputTokens;
  }
}

/** Milliseconds of slots by all fates but `useful`. */
export function wastedTime(account: CostByCategory): number {
  const { retry, hedge, cancelled, late } = account;
  return retry.time + hedge.time + cancelled.time + late.time;
}

function createAccount(): CostByCategory {
  return {
    useful: createSum(),
    retry: createSum(),
    hedge: createSum(),
    cancelled: createSum(),
    late: createSum(),
  };
}

function createSum(): Totals {
  return { calls: 0, time: 0, inputTokens: 0, outputTokens: 0 };
}
