/** Cost accounting by stage, account and kind, wasted cost included, and the
 * budget for extra cost that the policy table grants.
 * @module */

import type * as request from "../request/mod.ts";
import * as weight from "./weight.ts";

/** Category of a call's cost. A `useful` call produced the stage's result. The
 * other categories are extra cost: a failed call that was retried, the losing
 * call of a hedge, a cancelled call, and a result after the deadline. */
export type Category = "useful" | "retry" | "hedge" | "cancelled" | "late";

/** Total cost of a set of calls. */
export interface Totals {
  calls: number;
  /** Milliseconds of endpoint slots. */
  time: number;
  inputTokens: number;
  outputTokens: number;
}

/** Totals by category. */
export type CostByCategory = Record<Category, Totals>;

/** Cost of one call that ended. */
export interface Entry extends weight.Flow {
  service: string;
  stage: string;
  category: Category;
  /** As reported by the endpoint, or estimated when it reported none. */
  usage: request.Usage;
}

/** Dimensions by which the ledger aggregates. */
export type Dimension = "stage" | "account" | "kind";

/** Extra cost that a flow may spend when no policy row sets it, as a share of
 * its useful cost. */
export const DEFAULT_SPEND_RATIO = 0.05;

/** Useful cost, in milliseconds, whose share bounds a flow's budget. */
const MAX_ACCUMULATED_MS = 60_000;

/** Initial budget of a flow without any useful cost. */
const INITIAL_BUDGET_MS = 1000;

/** Maximum number of names in one dimension; further ones are aggregated under
 * `OTHERS_NAME`. */
const MAX_NAMES = 4096;

/** Name under which all names over the limit are aggregated. */
const OTHERS_NAME = "others";

/** Totals of all calls; `record` and `spend` mutate it in place. */
export class CostLedger {
  #policies: request.Policies;
  readonly #totals: Record<Dimension, Map<string, CostByCategory>> = {
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

  /** Records a call that ended; useful cost adds to the flow's budget. */
  record(entry: Entry): void {
    const { service, stage, account, kind, category, usage } = entry;
    this.#add("stage", `${service} ${stage}`, category, usage);
    this.#add("account", account, category, usage);
    this.#add("kind", kind, category, usage);
    if (category !== "useful") return;
    const earned = this.#spendRatioOf(entry) * usage.engineTime;
    this.#setBudget(entry, this.budget(entry) + earned);
  }

  /** Withdraws `time` predicted milliseconds of extra cost from a flow's
   * budget; returns false and withdraws nothing when the budget is smaller. */
  spend(flow: weight.Flow, time: number): boolean {
    const budget = this.budget(flow);
    if (budget < time) return false;
    this.#setBudget(flow, budget - time);
    return true;
  }

  /** Milliseconds of extra cost that a flow may spend now. */
  budget(flow: weight.Flow): number {
    const budget = this.#budgets.get(this.#budgetName(flow));
    return budget ?? (this.#spendRatioOf(flow) > 0 ? INITIAL_BUDGET_MS : 0);
  }

  /** Totals of one name in a dimension. */
  totals(dimension: Dimension, name: string): CostByCategory | undefined {
    return this.#totals[dimension].get(name);
  }

  toJSON(): Record<Dimension, Record<string, CostByCategory>> {
    return {
      stage: Object.fromEntries(this.#totals.stage),
      account: Object.fromEntries(this.#totals.account),
      kind: Object.fromEntries(this.#totals.kind),
    };
  }

  /** Share of extra cost; the lower one when both rows set it. */
  #spendRatioOf(flow: weight.Flow): number {
    const account = this.#policies.get(`account/${flow.account}`)?.spend;
    const kind = this.#policies.get(`kind/${flow.kind}`)?.spend;
    if (account === undefined) return kind ?? DEFAULT_SPEND_RATIO;
    return kind === undefined ? account : Math.min(account, kind);
  }

  #setBudget(flow: weight.Flow, budget: number): void {
    const max = Math.max(
      INITIAL_BUDGET_MS,
      MAX_ACCUMULATED_MS * this.#spendRatioOf(flow),
    );
    this.#budgets.set(this.#budgetName(flow), Math.min(max, budget));
  }

  #budgetName(flow: weight.Flow): string {
    const name = weight.nameOf(flow);
    const known = this.#budgets.has(name);
    return known || this.#budgets.size < MAX_NAMES ? name : OTHERS_NAME;
  }

  #add(
    dimension: Dimension,
    name: string,
    category: Category,
    usage: request.Usage,
  ): void {
    const byName = this.#totals[dimension];
    const full = !byName.has(name) && byName.size >= MAX_NAMES;
    const key = full ? OTHERS_NAME : name;
    let costs = byName.get(key);
    if (costs === undefined) {
      costs = createCostByCategory();
      byName.set(key, costs);
    }
    const totals = costs[category];
    totals.calls++;
    totals.time += usage.engineTime;
    totals.inputTokens += usage.inputTokens;
    totals.outputTokens += usage.outputTokens;
  }
}

/** Slot milliseconds of all categories but `useful`. */
export function wastedTime(costs: CostByCategory): number {
  const { retry, hedge, cancelled, late } = costs;
  return retry.time + hedge.time + cancelled.time + late.time;
}

function createCostByCategory(): CostByCategory {
  return {
    useful: createTotals(),
    retry: createTotals(),
    hedge: createTotals(),
    cancelled: createTotals(),
    late: createTotals(),
  };
}

function createTotals(): Totals {
  return { calls: 0, time: 0, inputTokens: 0, outputTokens: 0 };
}
