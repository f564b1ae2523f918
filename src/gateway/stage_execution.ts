/** Executes the stages of one request: has their items (units of work that
 * other requests may share a batch with) reserved and computed, and keeps the
 * handles of their results.
 * @module */

import type * as configurations from "../configuration/mod.ts";
import * as batching from "../batching/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as contexts from "./context.ts";
import type * as protocols from "./protocol.ts";
import * as stageMobility from "./stage_mobility.ts";

/** Part of the retention time of results within which the next stage is due:
 * otherwise stages with much slack would start after their inputs have expired,
 * and these would have to be produced again. */
const INPUT_RETENTION_RATIO = 0.4;

/** Most retries of items per request. */
const MAX_RETRIES = 3;

/** The request whose stages are executed, and when they are due. */
export interface StageExecutionOptions {
  readonly request: protocols.IncomingRequest;
  readonly route: configurations.Route;
  /** Initial priority rank of the items; 0 is the highest. */
  readonly rank: number;
  /** Time at which the request ends at the latest. */
  readonly deadline: number;
  /** Time at which the results are due. */
  readonly dueAt: number;
  /** Data centre where the results are needed; this host's if absent. */
  readonly dataCentre?: string;
}

/** Handles of the last stages' results, or why there are none. */
export type StageExecutionResult =
  | { type: "made"; inputs: readonly string[] }
  | { type: "failed"; detail: string };

type Dependencies = Pick<
  contexts.Context,
  "clock" | "batcherClient" | "dataCentre" | "fleetView" | "pool" | "protocol"
>;

/** Items of a stage requested together, and the milliseconds that they took. */
export interface StageRequestRecord {
  readonly service: string;
  readonly pieces: number;
  readonly ms: number;
}

/** Terms of one stage's forecast, for the log. */
export interface StageForecastRecord {
  readonly service: string;
  /** Host that gave the forecast. */
  readonly host?: string;
  readonly waitMs: number;
  readonly workMs: number;
  readonly workAgeMs?: number;
  /** Items queued before those of the stage. */
  readonly ahead?: number;
  /** Items started per second. */
  readonly rate?: number;
  /** Resource of the endpoints that the items wait for. */
  readonly scarce?: batching.OwnerEstimate["scarce"];
}

/** Forecast completion of all stages, in milliseconds from now. */
export interface PipelineForecast {
  readonly finish: number;
  /** The same without queueing. */
  readonly uncontended: number;
  readonly stages: readonly StageForecastRecord[];
}

function createRecord(
  service: string,
  { host, wait, work, workAge, ahead, rate, scarce }: batching.OwnerEstimate,
): StageForecastRecord {
  return {
    service,
    host,
    waitMs: Math.round(wait),
    workMs: Math.round(work),
    workAgeMs: workAge && Math.round(workAge),
    ahead: ahead && Math.round(ahead),
    rate: rate && Math.round(rate),
    scarce,
  };
}

/** Execution of the stages of one request. */
export class StageExecution {
  readonly #dependencies: Dependencies;
  readonly #options: StageExecutionOptions;
  #plan: batching.Plan;
  #retries = 0;
  #isClosed = false;
  /** Time at which the results are due, and the priority rank of the items. */
  #dueAt: number;
  #rank: number;
  /** Item requests so far, for the log. */
  readonly requestRecords: StageRequestRecord[] = [];
  readonly #stages: readonly Omit<batching.forecast.StageForecast, "wait">[];
  /** Milliseconds of work that follows on each stage. */
  #remainingTimes: readonly number[];
  /** Services that may compute in another data centre; derived once the request
   * would be late in its own. */
  #mobility?: readonly string[];
  /** Data centres in which services compute, where that is not the
   * destination. */
  readonly #overflow = new Map<string, string>();
  /** Partitions that execute the items, by service. */
  readonly #partitions: Map<string, string>;
  /** Latest estimates by stage. */
  #estimates: readonly (batching.OwnerEstimate | undefined)[] = [];

  private constructor(
    dependencies: Dependencies,
    options: StageExecutionOptions,
  ) {
    this.#dependencies = dependencies;
    this.#options = options;
    this.#dueAt = options.dueAt;
    this.#rank = options.rank;
    const { route, request } = options;
    this.#plan = batching.Plan.create(route.stages, request.itemCounts ?? []);
    const { itemCounts } = this.#plan;
    const catalogue = dependencies.fleetView.catalogue();
    this.#stages = route.stages.map(({ after, service }, stage) => {
      const traits = catalogue?.service(service)?.batching;
      const count = itemCounts[stage];
      const work = traits && batching.forecast.callDuration(traits, count);
      return { after, work: work ?? 0 };
    });
    this.#remainingTimes = batching.forecast.remainingTimes(this.#stages);
    const services = new Set(route.stages.map(({ service }) => service));
    this.#partitions = new Map(
      [...services].map((each) => [each, this.#selectPartition(each)]),
    );
  }

  static create(
    dependencies: Dependencies,
    options: StageExecutionOptions,
  ): StageExecution {
    return new StageExecution(dependencies, options);
  }

  /** Milliseconds that the stages take without queueing. */
  get uncontended(): number {
    return batching.forecast.completionTime(this.#uncontendedStages);
  }

  /** Changes when the results are due, and the rank of the items. */
  reschedule(dueAt: number, rank: number): void {
    this.#dueAt = dueAt;
    this.#rank = rank;
  }

  /** Whether its stages are cancelled and its results released. */
  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Data centres beside the destination in which the mobile services may
   * compute, in an order that differs from request to request. */
  get alternatives(): string[] {
    if (this.#mobileServices.length === 0) return [];
    return this.#dependencies.batcherClient.dataCentresBeside(
      this.#mobileServices,
      { request: this.#options.request.id, dataCentre: this.#destination },
    );
  }

  /** Milliseconds until all stages would be complete if the mobile services had
   * no queue: no other data centre completes them sooner. */
  get leastFinish(): number {
    const { stages } = this.#options.route;
    const estimates = this.#estimates.map((estimate, stage) =>
      this.#mobileServices.includes(stages[stage].service)
        ? undefined
        : estimate
    );
    return batching.forecast.completionTime(this.#forecastStages(estimates));
  }

  get #mobileServices(): readonly string[] {
    return this.#mobility ??= stageMobility.mobileServices(
      this.#options.route.stages,
      this.#plan.itemCounts,
    );
  }

  /** Reserves the items of all stages; resolves with their forecast
   * completion. */
  reserve(): Promise<PipelineForecast> {
    return this.#reserveStages(() => true);
  }

  /** Moves the mobile services to another data centre, or back to the
   * destination, and cancels what was reserved for them. */
  move(dataCentre?: string): void {
    this.#cancelReservations(this.#mobileServices);
    for (const service of this.#mobileServices) {
      if (dataCentre === undefined) this.#overflow.delete(service);
      else this.#overflow.set(service, dataCentre);
      this.#partitions.set(service, this.#selectPartition(service));
    }
  }

  /** Reserves the items of the mobile services after a move; resolves with the
   * forecast completion of all stages. */
  reserveMoved(): Promise<PipelineForecast> {
    return this.#reserveStages((service) =>
      this.#mobileServices.includes(service)
    );
  }

  async #reserveStages(
    isIncluded: (service: string) => boolean,
  ): Promise<PipelineForecast> {
    const { stages } = this.#options.route;
    this.#estimates = await Promise.all(
      stages.map(({ service }, stage) =>
        isIncluded(service) ? this.#reserveStage(stage) : this.#estimates[stage]
      ),
    );
    // The reservations may have been made after `close` cancelled them.
    if (this.#isClosed) this.#cancelAll();
    return this.#createForecast();
  }

  #reserveStage(stage: number): Promise<batching.OwnerEstimate> | undefined {
    const { route, request } = this.#options;
    const count = this.#plan.itemCounts[stage];
    if (count === 0) return undefined;
    const { service, bytes } = route.stages[stage];
    return this.#dependencies.batcherClient.reserve({
      type: "book",
      ...this.#partitionOf(service),
      request: request.id,
      stage,
      pieces: count,
      slack: this.#slack(stage),
      rank: this.#rank,
      bytes,
    });
  }

  #forecastStages(
    estimates: readonly (batching.OwnerEstimate | undefined)[],
  ): batching.forecast.StageForecast[] {
    return this.#uncontendedStages.map(({ after, work }, stage) => {
      const estimate = estimates[stage];
      if (estimate === undefined) return { after, work, wait: 0 };
      return {
        after,
        wait: estimate.wait,
        work: Math.max(work, estimate.work),
      };
    });
  }

  #createForecast(): PipelineForecast {
    const { route } = this.#options;
    const stages = this.#forecastStages(this.#estimates);
    this.#remainingTimes = batching.forecast.remainingTimes(stages);
    return {
      finish: batching.forecast.completionTime(stages),
      uncontended: this.uncontended,
      stages: this.#estimates.flatMap((estimate, stage) =>
        estimate === undefined
          ? []
          : [createRecord(route.stages[stage].service, estimate)]
      ),
    };
  }

  /** Executes the items that are missing; resolves when all results exist or a
   * stage has failed. */
  run(): Promise<StageExecutionResult> {
    return new Promise((resolve) => {
      const step = () => {
        if (this.#isClosed) return;
        if (this.#plan.isComplete) {
          return resolve({ type: "made", inputs: this.#plan.outputs });
        }
        for (const stageRequest of this.#plan.readyRequests) {
          this.#plan = this.#plan.markRequested(stageRequest.stage);
          void this.#compute(stageRequest).then((detail) => {
            if (detail === undefined) return step();
            resolve({ type: "failed", detail });
          });
        }
      };
      step();
    });
  }

  /** Discards all results: one of them is lost, and it is unknown which. */
  discardResults(): void {
    this.#plan = this.#plan.discardResults(this.#plan.stageIndexes);
  }

  /** Releases the results that are held. */
  release(): void {
    this.#releaseResults(this.#plan.heldResults);
    this.#plan = this.#plan.markReleased();
  }

  /** Releases the results and cancels the items that are unfinished. */
  close(): void {
    if (this.#isClosed) return;
    this.#isClosed = true;
    this.release();
    if (!this.#plan.isComplete) this.#cancelAll();
  }

  /** Cancels all items that are reserved or queued. */
  #cancelAll(): void {
    const services = this.#options.route.stages
      .filter((_, stage) => this.#plan.itemCounts[stage] > 0)
      .map(({ service }) => service);
    this.#cancelReservations([...new Set(services)]);
  }

  /** Cancels the items that are reserved or queued at some services. */
  #cancelReservations(services: readonly string[]): void {
    const { id } = this.#options.request;
    for (const service of services) {
      this.#dependencies.batcherClient.cancel(this.#partitionOf(service), id);
    }
  }

  /** The stages with no queueing delay. */
  get #uncontendedStages(): batching.forecast.StageForecast[] {
    return this.#stages.map((stage) => ({ ...stage, wait: 0 }));
  }

  #releaseResults(results: readonly batching.HeldResults[]): void {
    for (const { service, handles } of results) {
      this.#dependencies.batcherClient.release(
        this.#partitionOf(service),
        handles,
      );
    }
  }

  #selectPartition(service: string): string {
    const { id: request } = this.#options.request;
    const dataCentre = this.#overflow.get(service) ?? this.#destination;
    return this.#dependencies.batcherClient.selectPartition(service, {
      request,
      dataCentre,
    });
  }

  #partitionOf(service: string): batching.partitions.PartitionName {
    return { service, cell: this.#partitions.get(service)! };
  }

  /** Executes some items of a stage; resolves with the reason when the stage
   * can't be completed. */
  async #compute(
    stageRequest: batching.StageRequest,
  ): Promise<string | undefined> {
    const { stage, service } = stageRequest;
    const { clock, batcherClient } = this.#dependencies;
    const startedAt = clock.now();
    const results = await batcherClient.compute(
      this.#createQuestion(stageRequest),
    );
    const ms = Math.round(clock.now() - startedAt);
    this.requestRecords.push({
      service,
      pieces: stageRequest.items.length,
      ms,
    });
    const succeeded = results.filter(({ handle }) => handle !== undefined);
    this.#plan = this.#plan.addResults(stage, succeeded);
    if (this.#isClosed) this.release();
    this.#releaseResults(this.#plan.consumedResults);
    this.#plan = this.#plan.markConsumedReleased();
    const failures = results.flatMap(({ failure }) => failure ?? []);
    if (failures.length === 0) return undefined;
    const [failure] = failures;
    if (failures.includes("late")) return `stage ${stage}: late`;
    if (++this.#retries > MAX_RETRIES) return `stage ${stage}: ${failure}`;
    if (failures.includes("unreachable")) {
      this.#partitions.set(service, this.#selectPartition(service));
    }
    if (failures.includes("gone")) {
      this.#plan = this.#plan.discardResults(this.#plan.dependenciesOf(stage));
    }
    return this.#remainingTime() > 0
      ? undefined
      : `stage ${stage} (${service}): late`;
  }

  #createQuestion(
    { stage, service, items, bytes, inputs, inputBytes }: batching.StageRequest,
  ): schema.MakeQuestion {
    const { request } = this.#options;
    // Each item fetches its inputs, and its result is fetched once: the larger
    // of the two decides where the item is executed.
    const isInputBound = inputs !== undefined && inputBytes > bytes;
    const dataCentre = isInputBound
      ? this.#dataCentreOf(inputs)
      : this.#destination;
    const isFirst = inputs === undefined;
    return {
      type: "make",
      ...this.#partitionOf(service),
      request: request.id,
      stage,
      pieces: [...items],
      ...(isFirst ? { key: request.itemKey ?? "" } : { inputs: [...inputs] }),
      bytes,
      moved: Math.max(bytes, inputBytes),
      remaining: Math.max(0, this.#remainingTime()),
      slack: Math.min(this.#slack(stage), this.#retentionSlack(stage)),
      rank: this.#rank,
      dataCentre,
    };
  }

  /** Data centre in which the request itself will be executed. */
  get #destination(): string {
    return this.#options.dataCentre ?? this.#dependencies.dataCentre;
  }

  /** Data centre that holds most of the given results. */
  #dataCentreOf(handles: readonly string[]): string {
    const { pool, protocol } = this.#dependencies;
    const counts = new Map<string, number>();
    for (const handle of handles) {
      const dataCentre = pool.dataCentreOf(protocol.holderOf(handle));
      if (dataCentre !== undefined) {
        counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1);
      }
    }
    const [most] = [...counts].sort(([, a], [, b]) => b - a);
    return most?.[0] ?? this.#destination;
  }

  /** Milliseconds until a stage's results are due, so that the stages that
   * follow end in time. */
  #slack(stage: number): number {
    return this.#dueAt - this.#dependencies.clock.now() -
      this.#remainingTimes[stage];
  }

  /** Milliseconds within which a stage is due before its inputs expire. */
  #retentionSlack(stage: number): number {
    const { route } = this.#options;
    const catalogue = this.#dependencies.fleetView.catalogue();
    const times = route.stages[stage].after.map((other) => {
      const { service } = route.stages[other];
      return catalogue?.service(service)?.batching?.keepTime ?? Infinity;
    });
    return INPUT_RETENTION_RATIO * Math.min(Infinity, ...times);
  }

  #remainingTime(): number {
    return this.#options.deadline - this.#dependencies.clock.now();
  }
}
