/** Admission of a request to an endpoint: checks the rate limit that the
 * endpoint announces, the quarantine of requests that crash endpoints, and that
 * the endpoint still accepts calls, for instance because no evacuation has
 * begun.
 * @module */

import * as quarantine from "../quarantine/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import * as attempts from "./attempt.ts";
import type * as contexts from "./context.ts";
import type * as endpoints from "./endpoint.ts";
import type * as protocols from "./protocol.ts";
import * as refusals from "./refusal.ts";
import * as unavailabilities from "./unavailability.ts";

/** Milliseconds over which the retries of rate-limited callers are spread. */
const RETRY_SPREAD_MS = 1000;

/** Milliseconds after the end of a silent call within which its endpoint must
 * send something not to count as crashed: sound endpoints are silent for a second
 * or so, and the call has waited for about as long. */
const CRASH_VERDICT_MS = 2000;

/** Why a request is not admitted to an endpoint. */
export interface Denial {
  readonly reason: refusals.RefusalReason;
  /** Whether no other endpoint would admit the request either. */
  readonly isFinal: boolean;
  /** Details for the answer and the log line of the request. */
  readonly details: Readonly<Record<string, unknown>> & {
    /** Seconds until a retry. */
    readonly retryAfter: number;
  };
}

/** The request as far as its admission depends on it. */
export interface AdmissionRequest
  extends quarantine.fingerprints.RequestContent {
  readonly prompt?: protocols.Prompt;
}

/** A call that was admitted and has ended. */
export interface AdmittedCall {
  readonly endpoint: endpoints.Endpoint;
  readonly startedAt: number;
  /** Time at which the endpoint last sent something in the call. */
  readonly heardAt: number;
}

type Dependencies = Pick<
  contexts.Context,
  "clock" | "random" | "guard" | "quotas" | "slots"
>;

/** Admits one request to endpoints. */
export class EndpointAdmission {
  readonly #dependencies: Dependencies;
  readonly #identity: quarantine.Identity;
  /** Silent calls of which it is not known yet whether their endpoint has
   * crashed. */
  #openVerdicts = 0;
  /** Calls that were admitted and have not ended. */
  #openCalls = 0;
  /** Whether a call that the lease covers may have run. */
  #hasRun = false;

  private constructor(
    dependencies: Dependencies,
    request: AdmissionRequest,
  ) {
    this.#dependencies = dependencies;
    this.#identity = quarantine.Identity.create({
      content: request,
      parts: request.prompt?.parts,
    });
  }

  static create(
    dependencies: Dependencies,
    request: AdmissionRequest,
  ): EndpointAdmission {
    return new EndpointAdmission(dependencies, request);
  }

  /** Fingerprint of the request's content; undefined until it is needed. */
  get fingerprint(): string | undefined {
    return this.#identity.isComputed ? this.#identity.request : undefined;
  }

  /** Fingerprints of the prompt parts that other requests may share, in order;
   * undefined until `fingerprint` is needed, and without such parts. */
  get partFingerprints(): readonly string[] | undefined {
    const { isComputed, parts } = this.#identity;
    return isComputed && parts.length > 0 ? parts : undefined;
  }

  /** Why no endpoint would admit the request, by this host's own state. */
  denial(): Denial | undefined {
    const refusal = this.#dependencies.guard.refusal(this.#identity);
    return refusal && quarantineDenial(refusal, true);
  }

  /** Acquires admission of the request to an endpoint; resolves with a denial
   * if there is none. */
  async acquire(
    endpoint: endpoints.Endpoint,
    deadline: number,
  ): Promise<Denial | undefined> {
    const { id } = endpoint.identity;
    const denial = await this.#acquireQuota(id) ??
      await this.#passQuarantine(id, deadline) ??
      await this.#acquireSlot(id);
    const { clock, random } = this.#dependencies;
    const now = clock.now();
    if (denial !== undefined || endpoint.isAccepting(now)) return denial;
    this.release();
    return closedDenial(endpoint, { now, random });
  }

  /** Releases an admission whose call is not made. */
  release(): void {
    this.#openCalls--;
    this.#endRun();
  }

  /** Records the outcome of an admitted call; it shows whether the request crashes
   * endpoints. */
  recordOutcome(
    outcome: attempts.Outcome,
    { endpoint, startedAt, heardAt }: AdmittedCall,
  ): void {
    const { guard } = this.#dependencies;
    this.#openCalls--;
    if (attempts.mayHaveCrashed(outcome)) {
      guard.recordCrash(this.#identity, endpoint.identity.id);
    } else if (outcome.type === "failed") {
      if (outcome.cause === "silent") this.#awaitSign(endpoint, heardAt);
      if (outcome.mayHaveRun) this.#hasRun = true;
      this.#endRun();
    } else {
      const isWhole = attempts.isSuccess(outcome);
      guard.recordSuccess(this.#identity, { isWhole, startedAt });
    }
  }

  /** Records a crash unless the endpoint sends something soon: it may have ended
   * without closing its connections. */
  #awaitSign(endpoint: endpoints.Endpoint, heardAt: number): void {
    const { clock, guard } = this.#dependencies;
    this.#openVerdicts++;
    clock.after(CRASH_VERDICT_MS, () => {
      this.#openVerdicts--;
      if (endpoint.heardAt > heardAt) this.#endRun();
      else guard.recordCrash(this.#identity, endpoint.identity.id);
    });
  }

  /** Ends the lease of the request, which covers all of its calls, unless one is
   * in flight. Until the verdict on a silent call, the request may not run at
   * another endpoint either, which it may crash as well. */
  #endRun(): void {
    if (this.#openCalls > 0 || this.#openVerdicts > 0) return;
    const isUnused = !this.#hasRun;
    this.#hasRun = false;
    this.#dependencies.guard.endRun(this.#identity, { isUnused });
  }

  async #acquireQuota(endpoint: string): Promise<Denial | undefined> {
    const { quotas, random } = this.#dependencies;
    if (!quotas.isLimited(endpoint)) return undefined;
    const wait = await quotas.acquire(endpoint);
    if (wait === 0) return undefined;
    const spread = wait + random.next() * RETRY_SPREAD_MS;
    const details = { endpoint, retryAfter: refusals.retryDelay(spread) };
    return { reason: "rate-limited", isFinal: false, details };
  }

  async #acquireSlot(endpoint: string): Promise<Denial | undefined> {
    const { slots, random } = this.#dependencies;
    if (!slots.isLimited(endpoint)) return undefined;
    const wait = await slots.acquire(endpoint);
    if (wait === 0) return undefined;
    this.release();
    const spread = wait + random.next() * RETRY_SPREAD_MS;
    const details = { endpoint, retryAfter: refusals.retryDelay(spread) };
    return { reason: "no-slot", isFinal: false, details };
  }

  async #passQuarantine(
    endpoint: string,
    deadline: number,
  ): Promise<Denial | undefined> {
    const { guard, clock } = this.#dependencies;
    const identity = this.#identity;
    const remaining = deadline + CRASH_VERDICT_MS - clock.now();
    const admission = await guard.admit({ identity, endpoint, remaining });
    if (admission.type === "admitted") {
      this.#openCalls++;
      return undefined;
    }
    return quarantineDenial(admission, admission.type === "refused");
  }
}

/** Denial for an endpoint that stopped accepting calls during the admission. */
function closedDenial(
  endpoint: endpoints.Endpoint,
  context: { now: number; random: runtime.Random },
): Denial {
  const { id } = endpoint.identity;
  const { reason, details } = unavailabilities.unavailabilityOf(
    [endpoint],
    context,
  );
  return { reason, isFinal: false, details: { endpoint: id, ...details } };
}

function quarantineDenial(
  { crashes, wait, suspect }: quarantine.Refusal,
  isFinal: boolean,
): Denial {
  const isQuarantined = crashes >= quarantine.QUARANTINE_CRASH_COUNT;
  const reason = isQuarantined ? "quarantined" : "suspected";
  return {
    reason,
    isFinal,
    details: { suspect, crashes, retryAfter: refusals.retryDelay(wait) },
  };
}
