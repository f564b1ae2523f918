/** Whether a request may go to an endpoint now: where no evacuation has begun,
 * within the rate limit that the
 * endpoint names, and as one that has crashed endpoints may go to any.
 * @module */

import * as quarantine from "../quarantine/mod.ts";
import * as attempts from "./attempt.ts";
import type * as contexts from "./context.ts";
import type * as endpoints from "./endpoint.ts";
import * as refusals from "./refusal.ts";

/** Milliseconds after which a caller may come back at the latest, where it is
 * not known when its request is let run again. */
const LONGEST_RETURN = 60_000;
/** Milliseconds over which callers come back that a rate limit has refused. */
const RETURN_SPREAD = 1000;

/** Why a request may not go to an endpoint. */
export interface Denial {
  readonly reason: refusals.RefusalReason;
  /** Whether no other endpoint may get it either. */
  readonly isFinal: boolean;
  /** For the answer and the log line of the request. */
  readonly details: Readonly<Record<string, unknown>> & {
    /** Seconds after which to come back. */
    readonly retryAfter: number;
  };
}

type Needs = Pick<contexts.Context, "clock" | "random" | "guard" | "quotas">;

/** Admission of one request to endpoints. */
export class EndpointAdmission {
  readonly #needs: Needs;
  readonly #content: quarantine.fingerprints.RequestContent;
  #fingerprint?: string;

  private constructor(
    needs: Needs,
    content: quarantine.fingerprints.RequestContent,
  ) {
    this.#needs = needs;
    this.#content = content;
  }

  static create(
    needs: Needs,
    content: quarantine.fingerprints.RequestContent,
  ): EndpointAdmission {
    return new EndpointAdmission(needs, content);
  }

  /** What tells the request's content; absent while nothing has needed it. */
  get fingerprint(): string | undefined {
    return this.#fingerprint;
  }

  /** Why no endpoint may get the request, as far as this host knows. */
  denial(): Denial | undefined {
    const { guard } = this.#needs;
    if (guard.hasNoSuspects) return undefined;
    const refusal = guard.refusal(this.#identify());
    return refusal && denialOf(refusal, true);
  }

  /** Asks whether the request may go to an endpoint, where that is needed;
   * resolves with why there is none. */
  async acquire(
    endpoint: endpoints.Endpoint,
    until: number,
  ): Promise<Denial | undefined> {
    const { id } = endpoint.identity;
    const denial = await this.#askLimit(id) ?? await this.#askGuard(id, until);
    if (denial !== undefined || endpoint.isAccepting) return denial;
    this.release();
    return closed(id);
  }

  /** Notes that a call that was admitted is not made. */
  release(): void {
    const { guard } = this.#needs;
    if (!guard.hasNoSuspects) guard.endRun(this.#identify());
  }

  /** Says what a call shows of the request: whether it crashes endpoints. */
  recordOutcome(endpoint: string, outcome: attempts.Outcome): void {
    const { guard } = this.#needs;
    if (attempts.mayHaveCrashed(outcome)) {
      guard.recordCrash(this.#identify(), endpoint);
    } else if (!guard.hasNoSuspects) {
      const isAnswered = outcome.type !== "failed";
      if (isAnswered) guard.recordSuccess(this.#identify());
      else guard.endRun(this.#identify());
    }
  }

  async #askLimit(endpoint: string): Promise<Denial | undefined> {
    const { quotas, random } = this.#needs;
    if (!quotas.isLimited(endpoint)) return undefined;
    const wait = await quotas.acquire(endpoint);
    if (wait === 0) return undefined;
    const spread = wait + random.next() * RETURN_SPREAD;
    const about = { endpoint, retryAfter: returnAfter(spread) };
    return { reason: "rate-limited", isFinal: false, details: about };
  }

  async #askGuard(
    endpoint: string,
    until: number,
  ): Promise<Denial | undefined> {
    const { guard, clock } = this.#needs;
    if (guard.hasNoSuspects) return undefined;
    const fingerprint = this.#identify();
    const remaining = until - clock.now();
    const admission = await guard.admit({ fingerprint, endpoint, remaining });
    if (admission.type === "admitted") return undefined;
    return denialOf(admission, admission.type === "refused");
  }

  #identify(): string {
    return this.#fingerprint ??= quarantine.fingerprints.of(this.#content);
  }
}

/** An endpoint that was closed while it was asked for. */
function closed(endpoint: string): Denial {
  const { retryAfter = 0 } = refusals.REFUSALS.evacuated;
  const about = { endpoint, retryAfter };
  return { reason: "evacuated", isFinal: false, details: about };
}

function denialOf(
  { crashes, wait }: quarantine.Refusal,
  isFinal: boolean,
): Denial {
  const isSure = crashes >= quarantine.QUARANTINE_CRASH_COUNT;
  const reason = isSure ? "quarantined" : "suspected";
  return {
    reason,
    isFinal,
    details: { crashes, retryAfter: returnAfter(wait) },
  };
}

/** Seconds for so many milliseconds. */
function returnAfter(wait: number): number {
  return Math.round(Math.min(LONGEST_RETURN, wait)) / 1000;
}
