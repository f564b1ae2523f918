/** Which endpoint a request is sent to: the best that it was not sent to yet and
 * that may get it now.
 * @module */

import type * as admissions from "./endpoint_admission.ts";
import * as choice from "./endpoint_choice.ts";
import type * as contexts from "./context.ts";
import type * as endpoints from "./endpoint.ts";
import type * as placements from "./placement.ts";
import type * as protocols from "./protocol.ts";
import type * as refusals from "./refusal.ts";

/** Where a call goes. */
export interface Target {
  readonly endpoint: endpoints.Endpoint;
  /** For a prompt. */
  readonly placed?: placements.PlacementResult;
}

/** What is chosen, or why nothing is. */
export type TargetChoiceResult =
  | { readonly type: "target"; readonly target: Target }
  | {
    readonly type: "none";
    readonly reason: refusals.RefusalReason;
    readonly about: Readonly<Record<string, unknown>>;
  };

/** What a choice is for. */
export interface TargetChoiceOptions {
  readonly service: string;
  readonly prompt?: protocols.Prompt;
  /** Milliseconds within which a first event is wanted. */
  readonly objective: number;
  /** When the request ends at the latest. */
  readonly deadline: number;
  readonly admission: admissions.EndpointAdmission;
}

/** What has become of the request meanwhile. */
export interface RequestProgress {
  /** Endpoints that it was sent to, by their ids. */
  readonly called: readonly string[];
  /** Engine that its inputs were made near. */
  readonly planned?: endpoints.Endpoint;
  /** Whether nobody waits for it any more. */
  isFinished(): boolean;
}

type Needs = Pick<
  contexts.Context,
  "pool" | "clock" | "random" | "dataCentre" | "placement" | "quotas"
>;

/** Choices for one request. */
export class TargetChoice {
  readonly #needs: Needs;
  readonly #options: TargetChoiceOptions;

  private constructor(needs: Needs, options: TargetChoiceOptions) {
    this.#needs = needs;
    this.#options = options;
  }

  static create(needs: Needs, options: TargetChoiceOptions): TargetChoice {
    return new TargetChoice(needs, options);
  }

  /** Chooses an endpoint that takes the request now. */
  async choose(progress: RequestProgress): Promise<TargetChoiceResult> {
    const { admission, deadline: until } = this.#options;
    const avoided: string[] = [];
    for (;;) {
      const target = await this.#pick(progress, avoided);
      if (target === undefined) return this.#nothing;
      if (progress.isFinished()) return { type: "target", target };
      const { id } = target.endpoint.identity;
      const denial = await admission.acquire(target.endpoint, until);
      const isOver = progress.isFinished();
      if (isOver && denial === undefined) admission.release();
      if (isOver || denial === undefined) return { type: "target", target };
      if (denial.isFinal || avoided.includes(id)) {
        const { reason, details: about } = denial;
        return { type: "none", reason, about };
      }
      avoided.push(id);
    }
  }

  /** Why no endpoint can be called. */
  get #nothing(): TargetChoiceResult {
    const known = this.#needs.pool.endpointsOf(this.#options.service);
    const isEvacuated = known.some((each) => each.isEvacuated);
    const reason = isEvacuated ? "evacuated" : "no-endpoint";
    return { type: "none", reason, about: {} };
  }

  /** An endpoint that was not called yet and is not to be avoided, where there
   * is one. */
  async #pick(
    { called, planned }: RequestProgress,
    avoided: readonly string[],
  ): Promise<Target | undefined> {
    const { placement, quotas } = this.#needs;
    const { service, prompt, objective } = this.#options;
    const tried = [...called, ...avoided, ...quotas.blockedEndpoints];
    if (prompt === undefined) return this.#pickPlain(tried);
    const placed = await placement.place({
      service,
      prompt,
      objective,
      planned,
      tried,
      isSent: true,
    });
    return placed && { endpoint: placed.engine, placed };
  }

  #pickPlain(tried: readonly string[]): Target | undefined {
    const { pool, clock, random, dataCentre, quotas } = this.#needs;
    const now = clock.now();
    const usable = pool.usable(this.#options.service, now);
    const fresh = usable.filter(({ identity }) => !tried.includes(identity.id));
    const due = fresh.find(({ identity }) => quotas.needsProbe(identity.id));
    const candidates = fresh.length > 0 ? fresh : usable;
    const situation = { now, random, dataCentre };
    const endpoint = due ?? choice.chooseEndpoint(candidates, situation);
    return endpoint && { endpoint };
  }
}
