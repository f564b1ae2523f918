/** Whether a further call of a request is allowed, by the policy of its route and
 * by this host's retry budget of the service.
 * @module */

import type * as configurations from "../configuration/mod.ts";
import type * as attempts from "./attempt.ts";
import type * as callRecords from "./call_record.ts";
import type * as contexts from "./context.ts";
import * as retries from "./retry.ts";

type Dependencies = Pick<
  contexts.Context,
  "clock" | "fleetView" | "metrics" | "retryBudget"
>;

/** The request as far as its retries depend on it. */
export interface RetriedRequest {
  readonly service: string;
  readonly route: configurations.Route;
  /** Name of the caller's account; empty without one. */
  readonly account: string;
  /** Records of its calls, to which further ones are added. */
  readonly calls: readonly callRecords.CallRecord[];
}

/** Retries of one request; changed in place. */
export class RetryAllowance {
  readonly #dependencies: Dependencies;
  readonly #request: RetriedRequest;
  /** Whether a retry is withdrawn from the budget for a call not made yet. */
  #isWithdrawn = false;

  private constructor(dependencies: Dependencies, request: RetriedRequest) {
    this.#dependencies = dependencies;
    this.#request = request;
  }

  /** Counts the request in the budget of its service. */
  static start(
    dependencies: Dependencies,
    request: RetriedRequest,
  ): RetryAllowance {
    const { clock, retryBudget } = dependencies;
    retryBudget(request.service).deposit(clock.now());
    return new RetryAllowance(dependencies, request);
  }

  /** Records that a call is made. */
  recordCall(): void {
    this.#isWithdrawn = false;
  }

  /** Whether a call may follow one that has failed or is silent; says in its record
   * why none does. */
  mayRetry(
    failure: Extract<attempts.Outcome, { type: "failed" }>,
    history: retries.RetryHistory,
  ): boolean {
    const { route, calls } = this.#request;
    const decision = retries.afterFailure(route, failure, history);
    if (decision === "retry-free") return true;
    if (decision === "retry" && this.withdraw()) return true;
    const record = calls.at(-1);
    if (record !== undefined) {
      record.notRetried = decision === "retry" ? "budget" : "policy";
    }
    return false;
  }

  /** Withdraws a retry from the budget, unless one was withdrawn for a call that
   * was not made in the end; returns whether there is one. */
  withdraw(): boolean {
    if (this.#isWithdrawn) return true;
    const { clock, fleetView, metrics, retryBudget } = this.#dependencies;
    const { service, account, calls } = this.#request;
    const budget = retryBudget(service);
    const now = clock.now();
    if (budget.isWithheldFrom(account, now)) return false;
    const hosts = fleetView.hostCount();
    this.#isWithdrawn = budget.tryWithdraw(now, hosts);
    const record = calls.at(-1);
    if (record !== undefined) record.budget = budget.balance(now, hosts);
    if (!this.#isWithdrawn) metrics.count("gateway.no_budget", 1, { service });
    return this.#isWithdrawn;
  }
}
