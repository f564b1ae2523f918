/** Runs the stages of one request's route: plans the engine of its prompt,
 * reserves the stages, forecasts their completion, and keeps their results.
 *
 * A request that is forecast to miss its objective is refused at once, before
 * any work is done for it.
 * @module */

import type * as configurations from "../configuration/mod.ts";
import type * as calibrations from "./calibration.ts";
import type * as choices from "./endpoint_choice.ts";
import type * as contexts from "./context.ts";
import type * as endpoints from "./endpoint.ts";
import * as stageExecutions from "./stage_execution.ts";
import * as timeliness from "./timeliness.ts";
import type * as protocols from "./protocol.ts";
import type * as refusals from "./refusal.ts";
import * as delays from "../runtime/delay.ts";

/** Least retry delay of a refused request, in milliseconds: a burst lasts some
 * seconds. */
const MIN_RETRY_DELAY_MS = 500;
/** Multiple of the forecast lateness added to the retry delay, so that queues
 * drain by more than the lateness. */
const RETRY_LATENESS_FACTOR = 1.5;
/** Longest retry delay in milliseconds: callers heed one up to a third of their
 * time. */
const MAX_RETRY_DELAY_MS = 3000;

/** Part of the time until the caller's abandonment in which a retry that can no
 * longer meet its objective is to be served: the rest is a margin for errors of
 * so long a forecast. */
const LATE_TIME_RATIO = 0.7;

/** Queueing of a late request's stages, as a multiple of the time that they take
 * without, up to which they start. The results of its first stages would else
 * take memory while it queues at a later one; ranks order queues, but do not
 * free memory for requests that can be in time. */
const MAX_LATE_QUEUEING_RATIO = 1;
/** Multiple of that time, before its stages are due, in which a late request
 * starts whatever the queues are. */
const LATE_START_RATIO = 2;
/** Bounds of the time from one forecast of a waiting late request to the next,
 * in milliseconds: it is the time by which queues are too long. */
const MIN_FORECAST_INTERVAL_MS = 250;
const MAX_FORECAST_INTERVAL_MS = 1000;

/** Other data centres that are asked for a request that would be late in its
 * own: the less loaded of two at random is rarely overloaded. */
const MAX_ALTERNATIVES = 2;

/** The request whose stages are run, and its limits. */
export interface PipelineRunOptions {
  readonly request: protocols.IncomingRequest;
  readonly route: configurations.Route;
  readonly rank: number;
  /** Service that executes the request after its stages. */
  readonly service: string;
  /** Version that its endpoint must have; undefined if any will do. */
  readonly version?: string;
  readonly arrival: number;
  /** Milliseconds that the caller waited before this attempt. */
  readonly priorWait: number;
  /** Time at which the request ends at the latest. */
  readonly deadline: number;
}

/** Results of the last stages, or why the request is refused. */
export type PipelineRunResult =
  | { type: "made"; inputs: readonly string[] }
  | {
    type: "refused";
    reason: refusals.RefusalReason;
    about: Readonly<Record<string, unknown>>;
  };

/** Record of the run for the log line of its request. */
export interface PipelineRunRecord {
  expectedMs?: number;
  /** Terms of the forecast by stage. */
  forecast?: readonly stageExecutions.StageForecastRecord[];
  /** Mean error of the forecasts of its route, in milliseconds. */
  errorMs?: number;
  /** Data centre that computed what may be computed anywhere, if it was not the
   * one in which the results were needed. */
  overflow?: string;
  /** Whether it was served although it could no longer meet its objective. */
  isLate?: boolean;
  /** Milliseconds for which its stages waited for short queues, since it is
   * late. */
  heldMs?: number;
  tookMs?: number;
  /** Item requests with their durations. */
  rounds?: readonly stageExecutions.StageRequestRecord[];
}

/** The stages of one request. */
export class PipelineRun {
  readonly #context: contexts.Context;
  readonly #options: PipelineRunOptions;
  readonly #execution: stageExecutions.StageExecution;
  readonly #plan?: choices.EngineChoice;
  readonly #startedAt: number;
  /** Time at which the results are due to meet the objective. */
  readonly #dueAt: number;
  /** Time at which they are due for a late request, before the caller abandons
   * it. */
  readonly #lateDueAt: number;
  #isLate = false;
  #isReleased = false;
  /** Record for the log line of the request. */
  readonly record: PipelineRunRecord = {};

  private constructor(
    context: contexts.Context,
    options: PipelineRunOptions,
    plan?: choices.EngineChoice,
  ) {
    const {
      request,
      route,
      rank,
      arrival,
      priorWait,
      deadline,
    } = options;
    this.#context = context;
    this.#options = options;
    this.#startedAt = context.clock.now();
    this.#plan = plan;
    const firstEventTime = this.#plan?.firstEventTime ?? 0;
    this.#dueAt = arrival - priorWait + route.objective - firstEventTime;
    const abandonedAt = Math.min(
      deadline,
      arrival + timeliness.abandonmentTime(route),
    );
    this.#lateDueAt = arrival + LATE_TIME_RATIO * (abandonedAt - arrival) -
      firstEventTime;
    this.#execution = stageExecutions.StageExecution.create(context, {
      request,
      route,
      rank,
      deadline: abandonedAt,
      dueAt: this.#dueAt,
      dataCentre: this.#plan?.engine.identity.dataCentre,
    });
  }

  /** Plans the engine of the request; starts no stage. */
  static async create(
    context: contexts.Context,
    options: PipelineRunOptions,
  ): Promise<PipelineRun> {
    const plan = await planEngine(context, options);
    return new PipelineRun(context, options, plan);
  }

  /** Engine near which the results are produced. */
  get planned(): endpoints.Endpoint | undefined {
    return this.#plan?.engine;
  }

  /** Whether the request is late: it can no longer meet its objective and has a
   * lower priority than all that can. */
  get isLate(): boolean {
    return this.#isLate;
  }

  /** Reserves the stages, refuses the request if it would be late, else runs
   * the stages. */
  async run(): Promise<PipelineRunResult> {
    if (this.#isAlreadyLate) this.#setLate();
    let forecast = await this.#execution.reserve();
    let refusal = this.#refuseLate(forecast);
    if (refusal !== undefined && !this.#isLate) {
      const elsewhere = await this.#reserveElsewhere(forecast);
      if (elsewhere !== undefined) [forecast, refusal] = [elsewhere, undefined];
    }
    if (refusal !== undefined && this.#options.priorWait > 0 && !this.#isLate) {
      this.#setLate();
      forecast = await this.#execution.reserve();
      refusal = this.#refuseLate(forecast);
    }
    if (refusal !== undefined) {
      this.#countRefusal(forecast);
      return refusal;
    }
    if (this.#isLate) await this.#waitForShortQueues(forecast);
    const result = await this.#execute();
    if (result.type === "made" && !this.#isLate) {
      const { calibration } = this.#context;
      calibration.observe(
        this.#options.route.name,
        forecast,
        this.record.tookMs!,
      );
    }
    return result;
  }

  /** Whether the results are released. */
  get isReleased(): boolean {
    return this.#isReleased;
  }

  /** Runs all stages again, since a result is lost. */
  rerun(): Promise<PipelineRunResult> {
    this.#isReleased = false;
    this.#execution.discardResults();
    return this.#execute();
  }

  /** Releases the results after they were fetched. */
  release(): void {
    if (this.#isReleased) return;
    this.#isReleased = true;
    this.#execution.release();
  }

  /** Releases the results and cancels what is unfinished. */
  close(): void {
    this.#execution.close();
  }

  /** Whether the caller has waited so long before this attempt that it can't
   * meet the objective even without queueing. */
  get #isAlreadyLate(): boolean {
    const { priorWait } = this.#options;
    const left = this.#dueAt - this.#context.clock.now();
    return priorWait > 0 && left < this.#execution.uncontended;
  }

  /** Counts a refusal by the stage that would wait longest. */
  #countRefusal({ stages }: stageExecutions.PipelineForecast): void {
    const { metrics } = this.#context;
    if (stages.length === 0) return;
    const { service, scarce = "none" } = stages.reduce((one, other) =>
      other.waitMs > one.waitMs ? other : one
    );
    const { name: route } = this.#options.route;
    metrics.count("gateway.no_time", 1, { route, service, scarce });
  }

  /** Waits until the stages of a late request would hardly queue, or until it
   * must start to be answered at all. */
  async #waitForShortQueues(
    { finish, uncontended }: stageExecutions.PipelineForecast,
  ): Promise<void> {
    const { clock } = this.#context;
    const from = clock.now();
    const latestStart = this.#lateDueAt - LATE_START_RATIO * uncontended;
    const excessOf = (expected: number) =>
      expected - (1 + MAX_LATE_QUEUEING_RATIO) * uncontended;
    let excess = excessOf(finish);
    while (
      excess > 0 && clock.now() < latestStart && !this.#execution.isClosed
    ) {
      const pause = Math.min(
        Math.max(MIN_FORECAST_INTERVAL_MS, excess),
        MAX_FORECAST_INTERVAL_MS,
        latestStart - clock.now(),
      );
      await delays.sleep(clock, pause);
      this.record.heldMs = Math.round(clock.now() - from);
      if (this.#execution.isClosed) return;
      excess = excessOf((await this.#execution.reserve()).finish);
    }
  }

  /** Tries other data centres for the stages that may be computed there;
   * resolves with a forecast that meets the objective, and undoes the
   * reservations if there is none. None is asked where the other stages alone
   * make the request late. */
  async #reserveElsewhere(
    { uncontended }: stageExecutions.PipelineForecast,
  ): Promise<stageExecutions.PipelineForecast | undefined> {
    const { metrics } = this.#context;
    const finish = this.#execution.leastFinish;
    const best = this.#calibrate({ finish, uncontended });
    if (!this.#meetsObjective(best)) return undefined;
    const { name: route } = this.#options.route;
    const home = { ...this.record };
    const alternatives = this.#execution.alternatives.slice(
      0,
      MAX_ALTERNATIVES,
    );
    for (const dataCentre of alternatives) {
      this.#execution.move(dataCentre);
      const forecast = await this.#execution.reserveMoved();
      if (this.#refuseLate(forecast) !== undefined) continue;
      this.record.overflow = dataCentre;
      metrics.count("gateway.overflowed", 1, { route });
      return forecast;
    }
    if (alternatives.length > 0) this.#execution.move();
    Object.assign(this.record, home);
    return undefined;
  }

  #setLate(): void {
    this.#isLate = true;
    this.record.isLate = true;
    const rank = timeliness.effectiveRank(this.#options.rank, true);
    this.#execution.reschedule(this.#lateDueAt, rank);
  }

  #refuseLate(
    forecast: stageExecutions.PipelineForecast,
  ): PipelineRunResult | undefined {
    const calibrated = this.#calibrate(forecast);
    const { finish, uncontended, error } = calibrated;
    this.record.expectedMs = Math.round(finish);
    this.record.forecast = forecast.stages;
    this.record.errorMs = Math.round(error);
    if (this.#meetsObjective(calibrated)) return undefined;
    const left = this.#timeLeft;
    const retryAfter = this.#retryDelay(finish - Math.max(left, uncontended));
    const about = { aloneMs: uncontended, left, retryAfter };
    return { type: "refused", reason: "no-time", about };
  }

  #meetsObjective(calibrated: timeliness.CalibratedForecast): boolean {
    return timeliness.meetsObjective(calibrated, {
      left: this.#timeLeft,
      objective: this.#options.route.objective,
    });
  }

  #calibrate(forecast: calibrations.Forecast): timeliness.CalibratedForecast {
    const { calibration } = this.#context;
    const { name } = this.#options.route;
    return {
      finish: calibration.correct(name, forecast),
      uncontended: forecast.uncontended,
      error: calibration.error(name, forecast),
    };
  }

  /** Milliseconds until the results are due. */
  get #timeLeft(): number {
    const dueAt = this.#isLate ? this.#lateDueAt : this.#dueAt;
    return dueAt - this.#context.clock.now();
  }

  async #execute(): Promise<PipelineRunResult> {
    const { clock, metrics } = this.#context;
    const { route } = this.#options;
    const result = await this.#execution.run();
    const tookMs = Math.round(clock.now() - this.#startedAt);
    this.record.tookMs = tookMs;
    this.record.rounds = this.#execution.requestRecords;
    metrics.time("gateway.stages", tookMs, { route: route.name });
    if (result.type === "made") return result;
    const { detail } = result;
    return { type: "refused", reason: "no-pieces", about: { detail } };
  }

  /** Retry delay in seconds of a request forecast to be `excess` milliseconds
   * late: queues must drain by more than that, and retries are spread at
   * random. */
  #retryDelay(excess: number): number {
    const { random } = this.#context;
    const minDelay = MIN_RETRY_DELAY_MS + RETRY_LATENESS_FACTOR * excess;
    const spread = minDelay * (1 + random.next());
    return Math.round(Math.min(MAX_RETRY_DELAY_MS, spread)) / 1000;
  }
}

/** The engine that the request would be sent to now. */
async function planEngine(
  { placement }: contexts.Context,
  { request: { prompt }, service, version, route }: PipelineRunOptions,
): Promise<choices.EngineChoice | undefined> {
  if (prompt === undefined) return undefined;
  const { objective } = route;
  const query = { service, version, prompt, objective, tried: [] };
  return await placement.place({ ...query, isSent: false });
}
