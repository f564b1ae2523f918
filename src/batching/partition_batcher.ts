/** Makes the pieces of one cell: gathers what hosts ask for and calls the
 * endpoints that its scheduler names.
 * @module */

import type * as undici from "undici";
import type * as configurations from "../configuration/mod.ts";
import type * as protocols from "../gateway/protocol.ts";
import type * as rateLimits from "../rate_limits/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as pieceCall from "./batch_call.ts";
import * as schedulers from "./scheduler.ts";
import * as works from "./task.ts";

/** Times that a piece is tried; each costs an endpoint's time. */
const TRIES = 4;
/** Milliseconds over which results to be given up gather into one call: a small
 * part of a call, which their room may then be used for. */
const GATHER = 20;

/** What a batcher needs of its host. */
export interface BatcherDependencies {
  clock: runtime.Clock;
  dispatcher: undici.Dispatcher;
  protocol: protocols.GatewayProtocol;
  metrics: telemetry.Metrics;
  logger: telemetry.Logger;
  /** Notes that an endpoint has answered a call. One that has not is left alone
   * by its scheduler. */
  recordResponse(endpoint: string): void;
  /** Whether new calls may go to an endpoint, be it well or not. */
  acceptsCalls(endpoint: string): boolean;
  quotas: Pick<rateLimits.QuotaClient, "recordLimit" | "isLimited" | "acquire">;
}

/** What a batcher of one cell is made from. */
export interface PartitionBatcherOptions extends BatcherDependencies {
  readonly service: string;
  /** Whether no endpoint of the cell may get new calls: its data centre is
   * evacuated. */
  isEvacuated(): boolean;
  /** Figures of the service; those in force before when it has none now. */
  traits(): configurations.BatchTraits;
  /** Endpoints that take calls. */
  workers(): readonly works.Worker[];
}

/** When pieces would be made, and what that follows from. */
export type ReservationEstimate = Omit<schema.BookedReply, "type">;

/** Nobody says when they would be made. */
export const UNKNOWN_ESTIMATE: ReservationEstimate = { wait: 0, work: 0 };

interface Order {
  readonly question: schema.MakeQuestion;
  readonly results: Map<number, schema.Result>;
  resolve(results: schema.Result[]): void;
}

/** The scheduler of a cell, and the calls that it orders. */
export class PartitionBatcher {
  readonly #options: PartitionBatcherOptions;
  readonly #scheduler: schedulers.Scheduler;
  readonly #orders = new Map<string, Order>();
  /** Results to be given up, by their maker. */
  readonly #released = new Map<string, Set<string>>();
  #cancelWake: runtime.Cancel = () => {};
  #isReleasing = false;

  private constructor(options: PartitionBatcherOptions) {
    this.#options = options;
    this.#scheduler = schedulers.Scheduler.create(options.traits());
  }

  static create(options: PartitionBatcherOptions): PartitionBatcher {
    return new PartitionBatcher(options);
  }

  /** Makes pieces; resolves once each is made or cannot be. */
  compute(question: schema.MakeQuestion): Promise<schema.Result[]> {
    const now = this.#options.clock.now();
    return new Promise((resolve) => {
      const order = { question, results: new Map(), resolve };
      this.#orders.set(works.stageKey(question), order);
      this.#scheduler.add(worksOf(question, now));
      this.update();
    });
  }

  /** Notes pieces that will be asked for; says how long they would wait, and
   * how long calls take. */
  reserve(question: schema.BookQuestion): ReservationEstimate {
    const { request, stage, pieces: count, slack, rank } = question;
    const now = this.#options.clock.now();
    this.#scheduler.setWorkers(this.#options.workers());
    const wanted = now + slack;
    const booking = { request, stage, count, dueAt: wanted, rank };
    const { wait, ahead, rate } = this.#scheduler.reserve(booking, now);
    return {
      wait,
      work: this.#scheduler.callDuration(now),
      workAge: this.#scheduler.callDurationAge(now),
      ahead,
      rate: 1000 * rate,
    };
  }

  /** Drops the pieces of a request that have not been begun. */
  cancel(request: string): void {
    for (const work of this.#scheduler.cancelRequest(request)) {
      this.#settle(work, { piece: work.itemIndex, failure: "late" });
    }
  }

  /** Gives results up, so that their room is free. */
  release(handles: readonly string[]): void {
    const { protocol, clock } = this.#options;
    for (const handle of handles) {
      const maker = protocol.holderOf(handle);
      const gathered = this.#released.get(maker) ?? new Set();
      gathered.add(handle);
      this.#released.set(maker, gathered);
    }
    if (this.#isReleasing) return;
    this.#isReleasing = true;
    clock.after(GATHER, () => this.#sendReleases());
  }

  /** Follows a change of endpoints, of the configuration or of what waits:
   * makes the calls that can be made now. */
  update(): void {
    const { clock, workers, traits, isEvacuated: isClosed } = this.#options;
    const now = clock.now();
    if (isClosed()) this.#giveBackWaiting();
    this.#scheduler.setTraits(traits());
    this.#scheduler.setWorkers(workers());
    for (const work of this.#scheduler.expire(now)) {
      this.#settle(work, { piece: work.itemIndex, failure: "late" });
    }
    for (const assignment of this.#scheduler.assign(now)) {
      void this.#call(assignment);
    }
    this.#wakeLater(this.#scheduler.wakeAt(now));
  }

  /** Ends pieces that wait, so that another cell is asked for them. */
  #giveBackWaiting(): void {
    for (const work of this.#scheduler.clear()) {
      this.#settle(work, { piece: work.itemIndex, failure: "unreachable" });
    }
  }

  /** State for people. */
  dump(): unknown {
    return this.#scheduler.dump(this.#options.clock.now());
  }

  #wakeLater(at: number | undefined): void {
    this.#cancelWake();
    if (at === undefined || at === Infinity) return;
    const { clock } = this.#options;
    const wait = at - clock.now() + 1;
    this.#cancelWake = clock.after(wait, () => this.update());
  }

  async #call(assignment: works.Assignment): Promise<void> {
    const { clock, metrics, service, quotas, acceptsCalls: isOpen } =
      this.#options;
    const { id } = assignment.worker;
    if (quotas.isLimited(id)) {
      const wait = await quotas.acquire(id);
      if (wait > 0) return this.#putOff(assignment, wait);
    }
    if (!isOpen(id)) return this.#putOff(assignment, 0);
    const started = clock.now();
    metrics.count("pieces.calls", 1, { service });
    metrics.count("pieces.made", assignment.tasks.length, { service });
    const outcome = await pieceCall.call(assignment, {
      ...this.#options,
      patience: this.#scheduler.callTimeout(assignment, started),
      onHead: ({ isMisdirected, rateLimit }) => {
        if (!isMisdirected) quotas.recordLimit(id, rateLimit);
      },
    });
    const now = clock.now();
    const isGood = outcome.type === "results" || outcome.cause === "full";
    if (isGood) this.#options.recordResponse(assignment.worker.id);
    if (outcome.type === "results") {
      this.#takeResults(assignment, {
        results: outcome.results,
        duration: now - started,
        now,
      });
    } else this.#takeFailure(assignment, outcome);
    this.update();
  }

  /** Leaves an endpoint alone that takes no call for so many milliseconds. */
  #putOff(assignment: works.Assignment, pause: number): void {
    this.#scheduler.failCall(assignment, {
      now: this.#options.clock.now(),
      pause,
    });
    for (const work of assignment.tasks) {
      this.#again(untried(work), "unreachable");
    }
    this.update();
  }

  #takeResults(
    assignment: works.Assignment,
    { results, duration, now }: {
      results: readonly protocols.ItemResult[];
      duration: number;
      now: number;
    },
  ): void {
    const { tasks: works } = assignment;
    const { metrics, service } = this.#options;
    const made = results.flatMap((result, pos) =>
      result.type === "made"
        ? [{ handle: result.handle, bytes: works[pos].bytes }]
        : []
    );
    this.#scheduler.completeCall(assignment, { results: made, duration, now });
    const rejected = works.filter((_, pos) => {
      const result = results[pos];
      return result.type === "failed" && result.failure === "room";
    });
    const isFull = rejected.length > 0 &&
      this.#noteFull(assignment, { rejected, made }, now);
    results.forEach((result, pos) => {
      const work = works[pos];
      const { itemIndex: piece } = work;
      if (result.type === "made") {
        this.#settle(work, { piece, handle: result.handle });
        return;
      }
      const { failure } = result;
      metrics.count("pieces.failed", 1, { service, failure });
      const isFinal = failure === "gone" || failure === "late";
      if (isFinal) this.#settle(work, { piece, failure });
      else this.#again(isFull ? untried(work) : work, failure);
    });
  }

  /** Notes that an endpoint had less room than was thought; says whether most
   * of the call found none. */
  #noteFull(
    { worker, tasks: works }: works.Assignment,
    { rejected, made }: {
      rejected: readonly works.Task[];
      made: readonly { bytes: number }[];
    },
    now: number,
  ): boolean {
    const { logger, service } = this.#options;
    const full = {
      rejected: rejected.length,
      pieces: works.length,
      bytes: Math.min(...rejected.map(({ bytes }) => bytes)),
      made: made.reduce((sum, { bytes }) => sum + bytes, 0),
    };
    const belief = this.#scheduler.recordMemoryRejection(worker.id, full, now);
    logger.info(
      { service, endpoint: worker.id, ...full, ...belief },
      "Endpoint had no room",
    );
    return belief.isMost;
  }

  #takeFailure(
    assignment: works.Assignment,
    { cause }: { cause: pieceCall.CallFailure },
  ): void {
    const { clock, metrics, logger, service } = this.#options;
    const { worker, tasks: works } = assignment;
    const now = clock.now();
    const pause = cause === "full" ? FULL_PAUSE : undefined;
    metrics.count("pieces.failed", works.length, { service, failure: cause });
    logger.info(
      { service, endpoint: worker.id, cause, pieces: works.length },
      "Call for pieces failed",
    );
    this.#scheduler.failCall(assignment, { now, pause });
    for (const work of works) {
      this.#again(cause === "full" ? untried(work) : work, "unreachable");
    }
  }

  #again(work: works.Task, failure: schema.Result["failure"]): void {
    const order = this.#orders.get(works.stageKey(work));
    const tries = work.attempts + 1;
    if (order === undefined) return;
    if (tries < TRIES) {
      this.#scheduler.add([{ ...work, attempts: tries }]);
    } else this.#settle(work, { piece: work.itemIndex, failure });
  }

  #settle(work: works.Task, result: schema.Result): void {
    const key = works.stageKey(work);
    const order = this.#orders.get(key);
    if (order === undefined) {
      if (result.handle !== undefined) this.release([result.handle]);
      return;
    }
    order.results.set(work.itemIndex, result);
    if (order.results.size < order.question.pieces.length) return;
    this.#orders.delete(key);
    order.resolve([...order.results.values()]);
  }

  #sendReleases(): void {
    this.#isReleasing = false;
    const released = [...this.#released];
    this.#released.clear();
    for (const [maker, handles] of released) {
      void this.#sendRelease(maker, [...handles]);
    }
  }

  /** Their room is free once their maker has heard of it, not before. */
  async #sendRelease(
    address: string,
    handles: readonly string[],
  ): Promise<void> {
    const { clock, quotas, workers } = this.#options;
    const worker = workers().find((each) => each.address === address);
    if (worker !== undefined && quotas.isLimited(worker.id)) {
      const wait = await quotas.acquire(worker.id);
      // Results end by themselves; until then these gather with others.
      if (wait > 0) {
        clock.after(wait, () => this.release(handles));
        return;
      }
    }
    const isDone = await pieceCall.release(address, handles, this.#options);
    if (!isDone) return;
    this.#scheduler.releaseResults(address, handles);
    this.update();
  }
}

/** A piece that a full endpoint has not tried. */
function untried(work: works.Task): works.Task {
  return { ...work, attempts: work.attempts - 1 };
}

/** Milliseconds after which a full endpoint is asked again: about one call. */
const FULL_PAUSE = 120;

function worksOf(
  question: schema.MakeQuestion,
  now: number,
): works.Task[] {
  const { request, stage, key, inputs, bytes, rank, dataCentre } = question;
  const { moved = bytes } = question;
  const expires = now + question.remaining;
  const wanted = now + (question.slack ?? question.remaining);
  return question.pieces.map((piece) => ({
    request,
    stage,
    itemIndex: piece,
    key,
    inputs,
    bytes,
    expiresAt: expires,
    dueAt: wanted,
    rank,
    dataCentre,
    transferBytes: moved,
    attempts: 0,
  }));
}
