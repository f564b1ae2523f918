/** The charge of one request to the share of its client account: its admission,
 * the correction of its cost, and how its end is counted.
 * @module */

import type * as accountShares from "../account_shares/mod.ts";
import type * as configurations from "../configuration/mod.ts";
import type * as protocols from "./protocol.ts";
import * as refusals from "./refusal.ts";
import * as costs from "./request_cost.ts";

/** Reasons that show a lack of capacity. */
const CAPACITY_REASONS: ReadonlySet<refusals.RefusalReason> = new Set([
  "no-time",
  "no-pieces",
  "not-run",
  "no-slot",
  "timeout-not-run",
  "timeout",
]);

/** Multiple of the objective from which an answer shows a lack of capacity: a
 * queue, and not the chance delay of a call. */
const LATE_OBJECTIVE_COUNT = 2;

/** A request whose service is chosen. */
export interface ShareChargeOptions {
  readonly service: string;
  /** Performance figures of a service that computes items. */
  traitsOf(service: string): configurations.BatchTraits | undefined;
  readonly request: protocols.IncomingRequest;
  readonly route: configurations.Route;
  readonly account?: configurations.Account;
  readonly rank: number;
  /** Milliseconds that the caller waited before this attempt. */
  readonly priorWait: number;
}

/** How a request ended. */
export interface RequestEnding {
  /** Absent if it was answered. */
  readonly reason?: refusals.RefusalReason;
  /** Outcome of the last call, as in its record; absent if none was sent. */
  readonly lastCall?: string;
  /** Milliseconds from arrival to the end. */
  readonly ms: number;
  /** Milliseconds from arrival to the first event sent to the caller. */
  readonly firstEventMs?: number;
}

/** An admitted request, or the details of its refusal. */
export type ShareChargeResult =
  | { readonly type: "admitted"; readonly charge: ShareCharge }
  | {
    readonly type: "refused";
    readonly details: Readonly<Record<string, unknown>> & {
      /** Seconds until a retry. */
      readonly retryAfter: number;
    };
  };

/** The charge of one admitted request. */
export class ShareCharge {
  readonly #charge: accountShares.Charge;
  readonly #options: ShareChargeOptions;
  #isEnded = false;

  private constructor(
    charge: accountShares.Charge,
    options: ShareChargeOptions,
  ) {
    this.#charge = charge;
    this.#options = options;
  }

  /** Charges a request by its declared tokens, unless its account's share is
   * used up. */
  static create(
    shares: Pick<accountShares.AccountShares, "admit">,
    options: ShareChargeOptions,
  ): ShareChargeResult {
    const { rank, account, priorWait } = options;
    const service = resourceOf(options);
    const admission = shares.admit({
      service,
      rank,
      account: account?.name,
      cost: costOf(options),
      priorWait,
    });
    if (admission.type === "refused") {
      const { wait, details } = admission;
      const retryAfter = refusals.retryDelay(wait);
      return { type: "refused", details: { service, ...details, retryAfter } };
    }
    const charge = new ShareCharge(admission.charge, options);
    return { type: "admitted", charge };
  }

  /** Corrects the cost by the input tokens that the chosen engine's cache
   * lacks. A later call to another engine corrects it again. */
  correct(prefillTokens: number): void {
    const { request: { prompt }, route } = this.#options;
    if (this.#isEnded || route.stages.length > 0) return;
    this.#charge.correct(costs.costOf(prompt, prefillTokens));
  }

  /** Counts the end of the request; only the first one counts. */
  end(ending: RequestEnding): void {
    this.#end(outcomeOf(ending, this.#options));
  }

  /** Counts the end of a request that an internal error ended, which is no
   * lack of capacity whatever its caller is told. */
  endByError({ mayHaveRun }: { mayHaveRun: boolean }): void {
    this.#end(mayHaveRun ? "served" : "unserved");
  }

  #end(outcome: accountShares.ChargeOutcome): void {
    if (this.#isEnded) return;
    this.#isEnded = true;
    this.#charge.end(outcome);
  }
}

/** What accounts compete for: the service, or for a route with stages all of its
 * services together, in its rank. Routes that need other stages have other
 * bottlenecks, and one of them being short of capacity says nothing about the
 * other. Stages order items by rank and due time themselves, so that accounts
 * only divide what their rank gets. */
function resourceOf({ service, route, rank }: ShareChargeOptions): string {
  if (route.stages.length === 0) return service;
  const stages = new Set(route.stages.map((stage) => stage.service));
  return `${[service, ...[...stages].sort()].join("+")}/${rank}`;
}

/** Cost in the units of that resource: stages take most of the time of a request
 * that has some. */
function costOf({ request, route, traitsOf }: ShareChargeOptions): number {
  return route.stages.length === 0
    ? costs.costOf(request.prompt)
    : costs.stageCostOf(route.stages, request.itemCounts ?? [], traitsOf);
}

/** How the end of a request counts. A caller that has received a part of its
 * stream got service, whatever ended the stream. A request that failed may have
 * used capacity, so its cost is kept; that an endpoint failed is no lack of
 * capacity. A caller that leaves after twice its objective was denied
 * capacity. */
export function outcomeOf(
  ending: RequestEnding,
  request: Pick<ShareChargeOptions, "route">,
): accountShares.ChargeOutcome {
  const { reason, lastCall, firstEventMs } = ending;
  const isLate = isLateEnding(ending, request);
  const answered = isLate ? "late" : "served";
  if (reason === undefined || firstEventMs !== undefined) return answered;
  if (reason === "left") {
    const unsent = isLate ? "denied" : "unserved";
    return lastCall === undefined ? unsent : answered;
  }
  if (showsLackOfCapacity(reason, lastCall)) return "denied";
  return refusals.guaranteesNotRun(reason) ? "unserved" : "served";
}

/** Whether a refusal shows a lack of capacity. After a rejected call a backoff
 * does: all endpoints of a small service have rejected calls then. A call that
 * reaches the deadline fails at the time at which the request times out, and
 * either of them may end the request. */
function showsLackOfCapacity(
  reason: refusals.RefusalReason,
  lastCall: string | undefined,
): boolean {
  if (reason === "backoff") return lastCall === "full";
  if (reason === "failed") return lastCall === "deadline";
  return CAPACITY_REASONS.has(reason);
}

/** Whether the request ended, or its stream began, so late that it shows a lack of
 * capacity. The time before this attempt doesn't count: it had other causes,
 * such as a broken stream or a crashed endpoint. */
function isLateEnding(
  { ms, firstEventMs = ms }: RequestEnding,
  { route: { objective } }: Pick<ShareChargeOptions, "route">,
): boolean {
  return firstEventMs > LATE_OBJECTIVE_COUNT * objective;
}
