/** Makes pieces for the whole fleet: gathers what hosts ask for and calls the
 * endpoints of stages.
 * @module */

import type * as undici from "undici";
import type * as configurations from "../configuration/mod.ts";
import type * as protocols from "../gateway/protocol.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as pieceCall from "./piece_call.ts";
import * as schedulers from "./scheduler.ts";

/** Times that a piece is tried; each costs an endpoint's time. */
const TRIES = 4;
/** Milliseconds over which results to be given up gather into one call. */
const GATHER = 8;

/** What a batcher needs of its host. */
export interface BatcherOptions {
  clock: runtime.Clock;
  dispatcher: undici.Dispatcher;
  protocol: protocols.GatewayProtocol;
  metrics: telemetry.Metrics;
  logger: telemetry.Logger;
  service(name: string): configurations.Service | undefined;
  workers(service: string): readonly schedulers.Worker[];
  /** Notes that an endpoint has answered a call. One that has not is left alone
   * by its scheduler. */
  noteAnswer(endpoint: string): void;
}

/** Results of one maker that are to be given up. */
interface Released {
  readonly service: string;
  readonly maker: string;
  readonly handles: Set<string>;
}

interface Order {
  readonly question: schema.MakeQuestion;
  readonly results: Map<number, schema.Result>;
  resolve(results: schema.Result[]): void;
}

/** Schedulers of services, and the calls that they order. */
export class Batcher {
  readonly #options: BatcherOptions;
  readonly #schedulers = new Map<string, schedulers.Scheduler>();
  readonly #orders = new Map<string, Order>();
  readonly #released = new Map<string, Released>();
  readonly #wakes = new Map<string, runtime.Cancel>();
  #isReleasing = false;

  private constructor(options: BatcherOptions) {
    this.#options = options;
  }

  static create(options: BatcherOptions): Batcher {
    return new Batcher(options);
  }

  /** Makes pieces; resolves once each is made or cannot be. */
  make(question: schema.MakeQuestion): Promise<schema.Result[]> {
    const scheduler = this.#schedulerOf(question.service);
    if (scheduler === undefined) {
      return Promise.resolve(question.pieces.map((piece) => ({
        piece,
        failure: "unreachable" as const,
      })));
    }
    const now = this.#options.clock.now();
    return new Promise((resolve) => {
      const key = keyOf(question);
      const order = { question, results: new Map(), resolve };
      this.#orders.set(key, order);
      scheduler.add(worksOf(question, now));
      this.#run(question.service);
    });
  }

  /** Notes pieces that will be asked for; says how long they would wait. */
  book(question: schema.BookQuestion): number {
    const { service, request, stage, pieces: count, slack, rank } = question;
    const scheduler = this.#schedulerOf(service);
    if (scheduler === undefined) return 0;
    const now = this.#options.clock.now();
    scheduler.setWorkers(this.#options.workers(service));
    const wanted = now + slack;
    return scheduler.book({ request, stage, count, wanted, rank }, now);
  }

  /** Drops the pieces of a request that have not been begun. */
  drop(service: string, request: string): void {
    const dropped = this.#schedulers.get(service)?.drop(request) ?? [];
    for (const work of dropped) {
      this.#settle(service, work, { piece: work.piece, failure: "late" });
    }
  }

  /** Gives results up, so that their room is free. */
  release(service: string, handles: readonly string[]): void {
    const { protocol, clock } = this.#options;
    for (const handle of handles) {
      const maker = protocol.makerOf(handle);
      const key = `${service} ${maker}`;
      const gathered = this.#released.get(key) ??
        { service, maker, handles: new Set() };
      gathered.handles.add(handle);
      this.#released.set(key, gathered);
    }
    if (this.#isReleasing) return;
    this.#isReleasing = true;
    clock.after(GATHER, () => this.#sendReleases());
  }

  /** Follows a change of endpoints or of the configuration. */
  update(): void {
    for (const service of this.#schedulers.keys()) this.#run(service);
  }

  /** State for people. */
  dump(): unknown {
    return Object.fromEntries(
      [...this.#schedulers].map(([service, each]) => [service, each.dump()]),
    );
  }

  #schedulerOf(name: string): schedulers.Scheduler | undefined {
    const traits = this.#options.service(name)?.pieces;
    const known = this.#schedulers.get(name);
    if (traits === undefined) return known;
    if (known !== undefined) {
      known.setTraits(traits);
      return known;
    }
    const made = schedulers.Scheduler.create(traits);
    this.#schedulers.set(name, made);
    return made;
  }

  #run(service: string): void {
    const { clock, workers } = this.#options;
    const scheduler = this.#schedulerOf(service);
    if (scheduler === undefined) return;
    const now = clock.now();
    scheduler.setWorkers(workers(service));
    for (const work of scheduler.expire(now)) {
      this.#settle(service, work, { piece: work.piece, failure: "late" });
    }
    for (const assignment of scheduler.assign(now)) {
      void this.#call(service, assignment);
    }
    this.#wakeLater(service, scheduler.wakeAt(now));
  }

  #wakeLater(service: string, at: number | undefined): void {
    this.#wakes.get(service)?.();
    this.#wakes.delete(service);
    if (at === undefined || at === Infinity) return;
    const { clock } = this.#options;
    const cancel = clock.after(at - clock.now() + 1, () => {
      this.#wakes.delete(service);
      this.#run(service);
    });
    this.#wakes.set(service, cancel);
  }

  async #call(
    service: string,
    assignment: schedulers.Assignment,
  ): Promise<void> {
    const { clock, metrics } = this.#options;
    const scheduler = this.#schedulers.get(service)!;
    const started = clock.now();
    metrics.count("pieces.calls", 1, { service });
    metrics.count("pieces.made", assignment.works.length, { service });
    const outcome = await pieceCall.call(assignment, {
      ...this.#options,
      patience: scheduler.patience(assignment),
    });
    const now = clock.now();
    const isGood = outcome.type === "results" || outcome.cause === "full";
    if (isGood) this.#options.noteAnswer(assignment.worker.id);
    if (outcome.type === "results") {
      this.#takeResults(service, assignment, {
        results: outcome.results,
        duration: now - started,
        now,
      });
    } else this.#takeFailure(service, assignment, outcome);
    this.#run(service);
  }

  #takeResults(
    service: string,
    assignment: schedulers.Assignment,
    { results, duration, now }: {
      results: readonly protocols.PieceResult[];
      duration: number;
      now: number;
    },
  ): void {
    const { works, worker } = assignment;
    const scheduler = this.#schedulers.get(service)!;
    const handles = results.flatMap((result, pos) =>
      result.type === "made"
        ? [{ handle: result.handle, bytes: works[pos].bytes }]
        : []
    );
    scheduler.finish(assignment, { handles, duration, now });
    const isFull = results.some((result) =>
      result.type === "failed" && result.failure === "room"
    );
    if (isFull) scheduler.noteFull(worker.id, now);
    results.forEach((result, pos) => {
      const work = works[pos];
      const { piece } = work;
      if (result.type === "made") {
        this.#settle(service, work, { piece, handle: result.handle });
        return;
      }
      const { failure } = result;
      this.#options.metrics.count("pieces.failed", 1, { service, failure });
      const isFinal = failure === "gone" || failure === "late";
      if (isFinal) this.#settle(service, work, { piece, failure });
      else this.#again(service, work, failure);
    });
  }

  #takeFailure(
    service: string,
    assignment: schedulers.Assignment,
    { cause }: { cause: pieceCall.CallFailure },
  ): void {
    const { clock, metrics, logger } = this.#options;
    const { worker, works } = assignment;
    const now = clock.now();
    const scheduler = this.#schedulers.get(service)!;
    const pause = cause === "full" ? FULL_PAUSE : undefined;
    metrics.count("pieces.failed", works.length, { service, failure: cause });
    logger.info(
      { service, endpoint: worker.id, cause, pieces: works.length },
      "Call for pieces failed",
    );
    scheduler.fail(assignment, { now, pause });
    for (const work of works) {
      // A full endpoint has not tried.
      const tries = cause === "full" ? work.tries - 1 : work.tries;
      this.#again(service, { ...work, tries }, "unreachable");
    }
  }

  #again(
    service: string,
    work: schedulers.Work,
    failure: schema.Result["failure"],
  ): void {
    const order = this.#orders.get(keyOf({ service, ...work }));
    const tries = work.tries + 1;
    if (order === undefined) return;
    if (tries < TRIES) {
      this.#schedulers.get(service)!.add([{ ...work, tries }]);
    } else this.#settle(service, work, { piece: work.piece, failure });
  }

  #settle(
    service: string,
    work: schedulers.Work,
    result: schema.Result,
  ): void {
    const key = keyOf({ service, ...work });
    const order = this.#orders.get(key);
    if (order === undefined) {
      if (result.handle !== undefined) this.release(service, [result.handle]);
      return;
    }
    order.results.set(work.piece, result);
    if (order.results.size < order.question.pieces.length) return;
    this.#orders.delete(key);
    order.resolve([...order.results.values()]);
  }

  #sendReleases(): void {
    this.#isReleasing = false;
    const released = [...this.#released.values()];
    this.#released.clear();
    for (const { service, maker, handles } of released) {
      void this.#sendRelease(service, maker, [...handles]);
    }
  }

  /** Their room is free once their maker has heard of it, not before. */
  async #sendRelease(
    service: string,
    maker: string,
    handles: readonly string[],
  ): Promise<void> {
    const isDone = await pieceCall.release(maker, handles, this.#options);
    if (!isDone) return;
    this.#schedulers.get(service)?.release(handles);
    this.#run(service);
  }
}

/** Milliseconds after which a full endpoint is asked again: about one call. */
const FULL_PAUSE = 120;

function keyOf(
  { service, request, stage }: Pick<
    schema.MakeQuestion,
    "service" | "request" | "stage"
  >,
): string {
  return `${service}/${request}/${stage}`;
}

function worksOf(
  question: schema.MakeQuestion,
  now: number,
): schedulers.Work[] {
  const { request, stage, key, inputs, bytes, rank, dataCentre } = question;
  const { moved = bytes } = question;
  const expires = now + question.remaining;
  const wanted = now + (question.slack ?? question.remaining);
  return question.pieces.map((piece) => ({
    request,
    stage,
    piece,
    key,
    inputs,
    bytes,
    expires,
    wanted,
    rank,
    dataCentre,
    moved,
    tries: 0,
  }));
}
