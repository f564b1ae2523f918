/** The stages of one request: where they are made, whether they will be made in
 * time, and their results.
 *
 * A request that cannot be in time is refused at once, before anything has run.
 * @module */

import type * as configurations from "../configuration/mod.ts";
import type * as choice from "./endpoint_choice.ts";
import type * as contexts from "./context.ts";
import type * as endpoint from "./endpoint.ts";
import * as preparation from "./stage_execution.ts";
import * as prospect from "./timeliness.ts";
import type * as protocols from "./protocol.ts";
import type * as refusals from "./refusal.ts";

/** Least milliseconds after which a refused request may come back: a burst
 * lasts for some seconds. */
const LEAST_RETURN = 500;
/** Times what it is too late by that must be drained before it comes back. */
const RETURN_EXCESS = 1.5;
/** Most milliseconds: a third of the time that callers have, to which they heed
 * what they are told. */
const MOST_RETURN = 3000;

/** Part of the time until its caller leaves in which a request is to be served
 * that comes back too late for its objective: the rest is for what a forecast
 * so far ahead cannot know. */
const LATE_SHARE = 0.7;

/** What stages are for. */
export interface PipelineRunOptions {
  readonly request: protocols.IncomingRequest;
  readonly route: configurations.Route;
  readonly rank: number;
  /** Service that the request goes to then. */
  readonly service: string;
  readonly arrival: number;
  /** Milliseconds for which its caller had waited before. */
  readonly priorWait: number;
  /** When the request ends at the latest. */
  readonly deadline: number;
}

/** How it ended. */
export type PipelineRunResult =
  | { type: "made"; inputs: readonly string[] }
  | {
    type: "refused";
    reason: refusals.RefusalReason;
    about: Readonly<Record<string, unknown>>;
  };

/** What a log line says of it. */
export interface PipelineRunRecord {
  expectedMs?: number;
  /** What that was made of, stage by stage. */
  forecast?: readonly preparation.StageForecastRecord[];
  /** Milliseconds by which forecasts of its route miss. */
  errorMs?: number;
  /** Whether it could not be in time from the start. */
  isLate?: boolean;
  tookMs?: number;
  /** What it took stage by stage. */
  rounds?: readonly preparation.RoundRecord[];
}

/** Stages of a request under way. */
export class PipelineRun {
  readonly #context: contexts.Context;
  readonly #options: PipelineRunOptions;
  readonly #preparation: preparation.StageExecution;
  readonly #plan?: choice.EngineChoice;
  readonly #started: number;
  /** When the results are wanted. */
  readonly #wanted: number;
  /** When they are wanted where that cannot be kept: before the caller leaves. */
  readonly #lateWanted: number;
  #isLate = false;
  #isReleased = false;
  /** For its log line. */
  readonly record: PipelineRunRecord = {};

  private constructor(
    context: contexts.Context,
    options: PipelineRunOptions,
    plan?: choice.EngineChoice,
  ) {
    const {
      request: ask,
      route,
      rank,
      arrival,
      priorWait: waited,
      deadline: until,
    } = options;
    this.#context = context;
    this.#options = options;
    this.#started = context.clock.now();
    this.#plan = plan;
    const firstEvent = this.#plan?.firstEventTime ?? 0;
    this.#wanted = arrival - waited + route.objective - firstEvent;
    const leaves = Math.min(until, arrival + prospect.abandonmentTime(route));
    this.#lateWanted = arrival + LATE_SHARE * (leaves - arrival) - firstEvent;
    this.#preparation = preparation.StageExecution.create(context, {
      request: ask,
      route,
      rank,
      deadline: leaves,
      dueAt: this.#wanted,
      dataCentre: this.#plan?.engine.identity.dataCentre,
    });
  }

  /** Plans where the request will run; nothing is made yet. */
  static async create(
    context: contexts.Context,
    options: PipelineRunOptions,
  ): Promise<PipelineRun> {
    const plan = await planOf(context, options);
    return new PipelineRun(context, options, plan);
  }

  /** Engine that the results are made near. */
  get planned(): endpoint.Endpoint | undefined {
    return this.#plan?.engine;
  }

  /** Whether it is served late, behind those that can be in time. */
  get isLate(): boolean {
    return this.#isLate;
  }

  /** Judges the request and makes its pieces. */
  async run(): Promise<PipelineRunResult> {
    if (this.#isPast) this.#setLate();
    let forecast = await this.#preparation.book();
    let refusal = this.#judge(forecast);
    if (refusal !== undefined && this.#options.priorWait > 0 && !this.#isLate) {
      this.#setLate();
      forecast = await this.#preparation.book();
      refusal = this.#judge(forecast);
    }
    if (refusal !== undefined) return refusal;
    const result = await this.#make();
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

  /** Whether the results have been given up. */
  get isReleased(): boolean {
    return this.#isReleased;
  }

  /** Makes all pieces once more: one of the results is gone. */
  rerun(): Promise<PipelineRunResult> {
    this.#isReleased = false;
    this.#preparation.discardResults();
    return this.#make();
  }

  /** Gives the results up; they have been read. */
  release(): void {
    if (this.#isReleased) return;
    this.#isReleased = true;
    this.#preparation.release();
  }

  /** Stops: nobody waits for it any more. */
  close(): void {
    this.#preparation.close();
  }

  /** Whether its caller has waited for so long that it cannot be in time. */
  get #isPast(): boolean {
    const { priorWait: waited } = this.#options;
    const left = this.#wanted - this.#context.clock.now();
    return waited > 0 && left < this.#preparation.uncontended;
  }

  #setLate(): void {
    this.#isLate = true;
    this.record.isLate = true;
    const rank = prospect.effectiveRank(this.#options.rank, true);
    this.#preparation.reschedule(this.#lateWanted, rank);
  }

  #judge(
    forecast: preparation.PipelineForecast,
  ): PipelineRunResult | undefined {
    const { calibration } = this.#context;
    const { name, objective } = this.#options.route;
    const { uncontended: alone } = forecast;
    const finish = calibration.correct(name, forecast);
    const wanted = this.#isLate ? this.#lateWanted : this.#wanted;
    const left = wanted - this.#context.clock.now();
    const error = calibration.error(name, forecast);
    this.record.expectedMs = Math.round(finish);
    this.record.forecast = forecast.stages;
    this.record.errorMs = Math.round(error);
    const expected = { finish, uncontended: alone, error };
    if (prospect.meetsObjective(expected, { left, objective })) {
      return undefined;
    }
    const retryAfter = this.#returnAfter(finish - Math.max(left, alone));
    const about = { aloneMs: alone, left, retryAfter };
    return { type: "refused", reason: "no-time", about };
  }

  async #make(): Promise<PipelineRunResult> {
    const { clock, metrics } = this.#context;
    const { route } = this.#options;
    const result = await this.#preparation.run();
    const tookMs = Math.round(clock.now() - this.#started);
    this.record.tookMs = tookMs;
    this.record.rounds = this.#preparation.rounds;
    metrics.time("gateway.stages", tookMs, { route: route.name });
    if (result.type === "made") return result;
    const { detail } = result;
    return { type: "refused", reason: "no-pieces", about: { detail } };
  }

  /** Seconds after which a refused request may find its place: what waits must
   * be drained by more than what it is too late by, and returns are spread so
   * that they do not come at once. */
  #returnAfter(excess: number): number {
    const { random } = this.#context;
    const drained = LEAST_RETURN + RETURN_EXCESS * excess;
    const spread = drained * (1 + random.next());
    return Math.round(Math.min(MOST_RETURN, spread)) / 1000;
  }
}

/** The engine that a request would go to now. */
async function planOf(
  { placement }: contexts.Context,
  { request: { prompt }, service, route: { objective } }: PipelineRunOptions,
): Promise<choice.EngineChoice | undefined> {
  if (prompt === undefined) return undefined;
  const query = { service, prompt, objective, tried: [], isSent: false };
  return await placement.place(query);
}
