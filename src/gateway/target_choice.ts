/** Chooses the endpoint for a request's next call: the best one not called yet
 * that admits the request now.
 * @module */

import * as delays from "../runtime/delay.ts";
import type * as admissions from "./endpoint_admission.ts";
import * as choices from "./endpoint_choice.ts";
import type * as contexts from "./context.ts";
import type * as endpoints from "./endpoint.ts";
import type * as placements from "./placement.ts";
import type * as protocols from "./protocol.ts";
import type * as refusals from "./refusal.ts";
import * as unavailabilities from "./unavailability.ts";

/** Time between two tries for a slot of a brittle endpoint, per rank, and what is
 * added at random. */
const SLOT_WAIT_MS = 25;
const SLOT_WAIT_SPREAD_MS = 25;
/** Tries for a slot of one call. */
const MAX_SLOT_WAITS = 20;

/** The endpoint of a call. */
export interface Target {
  readonly endpoint: endpoints.Endpoint;
  /** Present for a prompt. */
  readonly placed?: placements.PlacementResult;
  /** Slowness of the endpoint that the choice used; absent while its service is
   * even. */
  readonly slowness?: number;
}

/** The chosen target, or why there is none; nothing is acquired if the choice is
 * not needed any more. */
export type TargetChoiceResult =
  | { readonly type: "target"; readonly target: Target }
  | { readonly type: "unneeded" }
  | {
    readonly type: "none";
    readonly reason: refusals.RefusalReason;
    readonly about: Readonly<Record<string, unknown>>;
  };

/** The request that targets are chosen for. */
export interface TargetChoiceOptions {
  readonly service: string;
  readonly prompt?: protocols.Prompt;
  /** Target time to the first event, in milliseconds. */
  readonly objective: number;
  /** Time at which the request ends at the latest. */
  readonly deadline: number;
  /** Rank of the request; 0 is the highest. */
  readonly rank: number;
  readonly endpointAdmission: admissions.EndpointAdmission;
}

/** Progress of the request so far. */
export interface RequestProgress {
  /** Ids of the endpoints already called. */
  readonly called: readonly string[];
  /** Engine near which the request's inputs were produced. */
  readonly planned?: endpoints.Endpoint;
  /** Version that the endpoint must have; undefined while any will do. */
  readonly version?: string;
  /** Whether no further call is needed. */
  isFinished(): boolean;
}

type Dependencies = Pick<
  contexts.Context,
  "pool" | "clock" | "random" | "dataCentre" | "placement" | "quotas" | "slots"
>;

/** Chooses the targets of one request. */
export class TargetChoice {
  readonly #dependencies: Dependencies;
  readonly #options: TargetChoiceOptions;

  private constructor(
    dependencies: Dependencies,
    options: TargetChoiceOptions,
  ) {
    this.#dependencies = dependencies;
    this.#options = options;
  }

  static create(
    dependencies: Dependencies,
    options: TargetChoiceOptions,
  ): TargetChoice {
    return new TargetChoice(dependencies, options);
  }

  /** Resolves with an endpoint that admits the request now. */
  async choose(progress: RequestProgress): Promise<TargetChoiceResult> {
    const { endpointAdmission: admission, deadline } = this.#options;
    const avoided: string[] = [];
    let slotWaits = 0;
    for (;;) {
      const target = await this.#pick(progress, avoided);
      if (target === undefined) return this.#unavailable(progress);
      if (progress.isFinished()) return { type: "unneeded" };
      const { id } = target.endpoint.identity;
      const denial = await admission.acquire(target.endpoint, deadline);
      const isFinished = progress.isFinished();
      if (isFinished && denial === undefined) admission.release();
      if (isFinished) return { type: "unneeded" };
      if (denial === undefined) return { type: "target", target };
      const isWaiting = denial.reason === "no-slot" &&
        avoided.includes(id) && this.#mayWaitForSlot(slotWaits);
      if (isWaiting) {
        slotWaits++;
        avoided.length = 0;
        await this.#waitForSlot();
        if (progress.isFinished()) return { type: "unneeded" };
        continue;
      }
      if (denial.isFinal || avoided.includes(id)) {
        const { reason, details: about } = denial;
        return { type: "none", reason, about };
      }
      avoided.push(id);
    }
  }

  /** Whether the request may wait on for a slot of an endpoint: for half of its
   * objective, some steps at most. */
  #mayWaitForSlot(waits: number): boolean {
    const { objective } = this.#options;
    const stepTime = this.#slotWait + SLOT_WAIT_SPREAD_MS;
    return waits < MAX_SLOT_WAITS && (waits + 1) * stepTime < objective / 2;
  }

  /** Milliseconds between two tries: higher ranks try more often. */
  get #slotWait(): number {
    return SLOT_WAIT_MS * (1 + this.#options.rank);
  }

  #waitForSlot(): Promise<void> {
    const { clock, random } = this.#dependencies;
    const wait = this.#slotWait + random.next() * SLOT_WAIT_SPREAD_MS;
    return delays.sleep(clock, wait);
  }

  /** The result when no endpoint can be called. */
  #unavailable({ version }: RequestProgress): TargetChoiceResult {
    const { pool, clock, random } = this.#dependencies;
    const known = pool.endpointsOf(this.#options.service);
    const context = { now: clock.now(), random };
    const { reason, details: about } = version === undefined
      ? unavailabilities.unavailabilityOf(known, context)
      : unavailabilities.unavailabilityOfVersion(known, version, context);
    return { type: "none", reason, about };
  }

  /** The best endpoint, preferably one not called yet and not in `avoided`. */
  async #pick(
    { called, planned, version }: RequestProgress,
    avoided: readonly string[],
  ): Promise<Target | undefined> {
    const { placement, quotas, slots, pool, clock } = this.#dependencies;
    const { service, prompt, objective } = this.#options;
    const blocked = [...quotas.blockedEndpoints, ...slots.blockedEndpoints];
    const tried = [...called, ...avoided, ...blocked];
    if (prompt === undefined) return this.#pickEndpoint(tried, version);
    // The owner of a partition does not know what engines announce to this host.
    const closed = pool.announcedClosed(service, clock.now());
    const placed = await placement.place({
      service,
      prompt,
      objective,
      planned,
      version,
      tried: [...tried, ...closed],
      isSent: true,
    });
    if (placed === undefined) return undefined;
    const { engine: endpoint, slowness } = placed;
    return { endpoint, placed, ...(slowness !== 1 && { slowness }) };
  }

  #pickEndpoint(
    tried: readonly string[],
    version: string | undefined,
  ): Target | undefined {
    const { pool, clock, random, dataCentre, quotas } = this.#dependencies;
    const now = clock.now();
    const usable = pool.usable(this.#options.service, now, version);
    const untried = usable.filter(({ identity }) =>
      !tried.includes(identity.id)
    );
    const probed = untried.find(({ identity }) =>
      quotas.needsProbe(identity.id)
    );
    const candidates = untried.length > 0
      ? untried
      : usable.filter((each) => each.rejections.left(now) === 0);
    const context = { now, random, dataCentre };
    const endpoint = probed ?? choices.chooseEndpoint(candidates, context);
    if (endpoint === undefined) return undefined;
    const isBySlowness = endpoint !== probed &&
      endpoint.unevenDuration(now) !== undefined;
    return isBySlowness
      ? { endpoint, slowness: endpoint.slowness(now) }
      : { endpoint };
  }
}
