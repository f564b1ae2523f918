/** Computes the items of one partition: collects the items that hosts submit
 * and makes the calls that the partition's scheduler assigns to endpoints.
 * @module */

import type * as undici from "undici";
import type * as concurrency from "../concurrency/mod.ts";
import type * as configurations from "../configuration/mod.ts";
import type * as protocols from "../gateway/protocol.ts";
import type * as rateLimits from "../rate_limits/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as batchCalls from "./batch_call.ts";
import * as schedulers from "./scheduler.ts";
import * as tasks from "./task.ts";
import type * as workerStates from "./worker_state.ts";

/** Calls in which an item may be tried before it fails; each takes up time of
 * an endpoint. */
const MAX_ATTEMPTS = 4;
/** Time over which results to be released are collected into one call. It is
 * short beside a call, for which the released memory may be needed. */
const RELEASE_DELAY_MS = 20;

/** Dependencies that the batchers of a host share. */
export interface BatcherDependencies {
  clock: runtime.Clock;
  dispatcher: undici.Dispatcher;
  protocol: protocols.GatewayProtocol;
  metrics: telemetry.Metrics;
  logger: telemetry.Logger;
  partialAnswers: batchCalls.CallOptions["partialAnswers"];
  /** Records that an endpoint has accepted or rejected a call sent at
   * `startedAt`. A scheduler gives no calls to an endpoint that does not
   * respond. */
  recordResponse(endpoint: string, response: BatchResponse): void;
  /** Id of the endpoint now at an address. */
  endpointAt(address: string): string | undefined;
  /** Milliseconds for which an endpoint has asked this host for no calls. */
  backoff(endpoint: string): number;
  /** Records what the head of an answer announces of its endpoint. */
  recordHead(endpoint: string, head: protocols.ReplyHead): void;
  /** Shared estimate of an endpoint's slowness. */
  readonly sharedSlowness: workerStates.SharedSlowness;
  /** Records the ratio of the duration of a call that gave all its results to
   * the duration that the configuration gives. */
  recordDurationRatio(endpoint: string, ratio: number): void;
  /** Whether new calls may be sent to an endpoint, whether it is healthy or
   * not. */
  acceptsCalls(endpoint: string): boolean;
  quotas: Pick<rateLimits.QuotaClient, "recordLimit" | "isLimited" | "acquire">;
  slots: Pick<
    concurrency.SlotClient,
    "isLimited" | "acquire" | "begin" | "end"
  >;
}

/** The response of an endpoint to a call that computes items. */
export interface BatchResponse {
  readonly isRejection: boolean;
  readonly startedAt: number;
}

/** Options of the batcher of one partition. */
export interface PartitionBatcherOptions extends BatcherDependencies {
  readonly service: string;
  /** Handles that this host has received, of all partitions: endpoints move
   * between partitions with their connections. */
  readonly receivedHandles: batchCalls.CallOptions["receivedHandles"];
  /** Whether no endpoint of the partition accepts calls any more: each is
   * evacuated or leaving. */
  isClosed(): boolean;
  /** Milliseconds until the first endpoint of the partition accepts calls again
   * by what endpoints have announced; 0 if one does now. */
  resumesIn(): number;
  /** Performance figures of the service; the last known ones if the
   * configuration in force has none. */
  traits(): configurations.BatchTraits;
  /** Endpoints that accept calls. */
  workers(): readonly tasks.Worker[];
}

/** Estimate of when items would start, with the values that it is derived
 * from. */
export type ReservationEstimate = Omit<schema.BookedReply, "type">;

/** Estimate for the case that no batcher gave one. */
export const UNKNOWN_ESTIMATE: ReservationEstimate = { wait: 0, work: 0 };

interface PendingStage {
  readonly question: schema.MakeQuestion;
  readonly results: Map<number, schema.Result>;
  resolve(results: schema.Result[]): void;
}

/** Runs the scheduler of a partition and makes the calls that it assigns. */
export class PartitionBatcher {
  readonly #options: PartitionBatcherOptions;
  readonly #scheduler: schedulers.Scheduler;
  readonly #pending = new Map<string, PendingStage>();
  /** Handles of results to be released, by the address of the endpoint that
   * holds them. */
  readonly #toRelease = new Map<string, Set<string>>();
  #cancelTimer: runtime.Cancel = () => {};
  #isReleaseScheduled = false;

  private constructor(options: PartitionBatcherOptions) {
    this.#options = options;
    const { traits, sharedSlowness } = options;
    this.#scheduler = schedulers.Scheduler.create(traits(), sharedSlowness);
  }

  static create(options: PartitionBatcherOptions): PartitionBatcher {
    return new PartitionBatcher(options);
  }

  /** Computes items; resolves once each has a result or has failed. */
  compute(question: schema.MakeQuestion): Promise<schema.Result[]> {
    const now = this.#options.clock.now();
    return new Promise((resolve) => {
      const pending = { question, results: new Map(), resolve };
      this.#pending.set(tasks.stageKey(question), pending);
      this.#scheduler.add(tasksOf(question, now));
      this.update();
    });
  }

  /** Records items that a request will submit later; returns an estimate of how
   * long they would wait and how long calls take. */
  reserve(question: schema.BookQuestion): ReservationEstimate {
    const { request, stage, pieces: count, slack, rank, bytes } = question;
    const now = this.#options.clock.now();
    this.#scheduler.setWorkers(this.#options.workers());
    const dueAt = now + slack;
    const reservation = { request, stage, count, dueAt, rank, bytes };
    const { wait, ahead, rate, scarce } = this.#scheduler.reserve(
      reservation,
      now,
    );
    const minWait = rate === 0 ? this.#options.resumesIn() : 0;
    return {
      wait: Math.max(wait, minWait),
      work: this.#scheduler.callDuration(now),
      workAge: this.#scheduler.callDurationAge(now),
      ahead,
      rate: 1000 * rate,
      scarce,
    };
  }

  /** Cancels the items of a request that have not started. */
  cancel(request: string): void {
    for (const task of this.#scheduler.cancelRequest(request)) {
      this.#complete(task, { piece: task.itemIndex, failure: "late" });
    }
  }

  /** Releases results, which frees the memory that they take. */
  release(handles: readonly string[]): void {
    const { protocol, clock } = this.#options;
    for (const handle of handles) {
      const holder = protocol.holderOf(handle);
      const unsent = this.#toRelease.get(holder) ?? new Set();
      unsent.add(handle);
      this.#toRelease.set(holder, unsent);
    }
    if (this.#isReleaseScheduled) return;
    this.#isReleaseScheduled = true;
    clock.after(RELEASE_DELAY_MS, () => this.#sendReleases());
  }

  /** Applies a change of the endpoints, the configuration or the queue, and
   * makes the calls that are possible now. */
  update(): void {
    const { clock, workers, traits, isClosed } = this.#options;
    const now = clock.now();
    if (isClosed()) this.#failQueued();
    this.#scheduler.setTraits(traits());
    this.#scheduler.setWorkers(workers());
    for (const task of this.#scheduler.expire(now)) {
      this.#complete(task, { piece: task.itemIndex, failure: "late" });
    }
    for (const assignment of this.#scheduler.assign(now)) {
      void this.#call(assignment);
    }
    this.#scheduleUpdate(this.#wakeAt(now));
  }

  /** Fails all queued items as unreachable, so that their requests submit them
   * to another partition. */
  #failQueued(): void {
    for (const task of this.#scheduler.clear()) {
      this.#complete(task, { piece: task.itemIndex, failure: "unreachable" });
    }
  }

  /** Whether no stage waits for its items. */
  get isIdle(): boolean {
    return this.#pending.size === 0;
  }

  /** State for the state dump. */
  dump(): unknown {
    return this.#scheduler.dump(this.#options.clock.now());
  }

  /** When to update again, if items are queued. */
  #wakeAt(now: number): number | undefined {
    const wakeAt = this.#scheduler.wakeAt(now);
    if (wakeAt === undefined) return undefined;
    return Math.min(wakeAt, now + (this.#options.resumesIn() || Infinity));
  }

  #scheduleUpdate(at: number | undefined): void {
    this.#cancelTimer();
    if (at === undefined || at === Infinity) return;
    const { clock } = this.#options;
    const wait = at - clock.now() + 1;
    this.#cancelTimer = clock.after(wait, () => this.update());
  }

  async #call(assignment: tasks.Assignment): Promise<void> {
    const { clock, metrics, service, acceptsCalls, slots } = this.#options;
    const { id } = assignment.worker;
    const grant = this.#requestGrant(id);
    const wait = grant === undefined ? 0 : await grant;
    if (wait > 0) return this.#postpone(assignment, wait);
    const slotWait = slots.isLimited(id) ? await slots.acquire(id) : 0;
    if (slotWait > 0) return this.#postpone(assignment, slotWait);
    if (!acceptsCalls(id)) return this.#postpone(assignment, 0);
    const started = clock.now();
    metrics.count("pieces.calls", 1, { service });
    metrics.count("pieces.made", assignment.tasks.length, { service });
    slots.begin(id);
    let isOverdue = false;
    const outcome = await batchCalls.call(assignment, {
      ...this.#options,
      timeout: this.#scheduler.callTimeout(assignment, started),
      onOverdue: () => isOverdue = this.#handleOverdue(assignment),
      onHead: (head) => this.#recordHead(id, head),
      maySend: () => acceptsCalls(id),
    });
    slots.end(id);
    if (outcome.type === "failed" && outcome.cause === "withheld") {
      return this.#postpone(assignment, 0);
    }
    const now = clock.now();
    const isRejection = outcome.type === "failed" && outcome.cause === "full";
    if (outcome.type === "results" || isRejection) {
      const response = { isRejection, startedAt: started };
      this.#options.recordResponse(id, response);
    }
    if (isOverdue) this.#handleOverdueEnd(assignment, outcome);
    else if (outcome.type === "results") {
      this.#handleResults(assignment, {
        results: outcome.results,
        duration: now - started,
        now,
      });
    } else this.#handleFailure(assignment, outcome);
    this.update();
  }

  /** Requests a grant for one call to an endpoint; resolves with 0, or with the
   * milliseconds after which to retry. Undefined if the call needs no grant. */
  #requestGrant(endpoint: string): Promise<number> | undefined {
    const { quotas, backoff } = this.#options;
    const left = backoff(endpoint);
    if (left > 0) return Promise.resolve(left);
    return quotas.isLimited(endpoint) ? quotas.acquire(endpoint) : undefined;
  }

  #recordHead(endpoint: string, head: protocols.ReplyHead): void {
    if (head.isMisdirected) return;
    this.#options.quotas.recordLimit(endpoint, head.rateLimit);
    this.#options.recordHead(endpoint, head);
  }

  /** Puts the items of an assignment back into the queue and assigns no call to
   * its endpoint for `pause` milliseconds. */
  #postpone(assignment: tasks.Assignment, pause: number): void {
    this.#scheduler.failCall(assignment, {
      now: this.#options.clock.now(),
      pause,
    });
    for (const task of assignment.tasks) {
      this.#retry(withoutAttempt(task), "unreachable");
    }
    this.update();
  }

  #handleResults(
    assignment: tasks.Assignment,
    { results, duration, now }: {
      results: readonly protocols.ItemResult[];
      duration: number;
      now: number;
    },
  ): void {
    const { tasks } = assignment;
    const { metrics, service } = this.#options;
    const held = heldResults(assignment, results);
    const call = { results: held, duration, now };
    const ratio = this.#scheduler.completeCall(assignment, call);
    // A call that computed only some of its items says little about speed.
    if (held.length === tasks.length) {
      this.#options.recordDurationRatio(assignment.worker.id, ratio);
    }
    const rejected = tasks.filter((_, pos) => {
      const result = results[pos];
      return result.type === "failed" && result.failure === "room";
    });
    const isMostlyRejected = rejected.length > 0 &&
      this.#recordMemoryRejection(assignment, { rejected, made: held }, now);
    results.forEach((result, pos) => {
      const task = tasks[pos];
      const { itemIndex: piece } = task;
      if (result.type === "made") {
        this.#complete(task, { piece, handle: result.handle });
        return;
      }
      const { failure } = result;
      metrics.count("pieces.failed", 1, { service, failure });
      const isFinal = failure === "gone" || failure === "late";
      if (isFinal) this.#complete(task, { piece, failure });
      else this.#retry(isMostlyRejected ? withoutAttempt(task) : task, failure);
    });
  }

  /** Records that an endpoint had less memory than estimated; returns whether
   * at least half of the call's items were rejected. */
  #recordMemoryRejection(
    { worker, tasks }: tasks.Assignment,
    { rejected, made }: {
      rejected: readonly tasks.Task[];
      made: readonly { bytes: number }[];
    },
    now: number,
  ): boolean {
    const { logger, service } = this.#options;
    const rejection = {
      rejected: rejected.length,
      pieces: tasks.length,
      bytes: Math.min(...rejected.map(({ bytes }) => bytes)),
      made: made.reduce((sum, { bytes }) => sum + bytes, 0),
    };
    const estimate = this.#scheduler.recordMemoryRejection(
      worker.id,
      rejection,
      now,
    );
    logger.info(
      { service, endpoint: worker.id, ...rejection, ...estimate },
      "Endpoint rejected items for lack of memory; estimate corrected",
    );
    return estimate.isMost;
  }

  #handleFailure(
    assignment: tasks.Assignment,
    { cause }: { cause: batchCalls.CallFailure },
  ): void {
    const { clock, metrics, logger, service, backoff } = this.#options;
    const { worker, tasks } = assignment;
    const now = clock.now();
    const pauses: Partial<Record<batchCalls.CallFailure, number>> = {
      full: Math.max(QUEUE_FULL_PAUSE_MS, backoff(worker.id)),
      unreachable: UNREACHABLE_PAUSE_MS,
    };
    const pause = pauses[cause];
    metrics.count("pieces.failed", tasks.length, { service, failure: cause });
    logger.info(
      { service, endpoint: worker.id, cause, pieces: tasks.length },
      "Call to compute items failed; its items are queued again or fail",
    );
    this.#scheduler.failCall(assignment, { now, pause });
    for (const task of tasks) {
      this.#retry(
        cause === "full" ? withoutAttempt(task) : task,
        "unreachable",
      );
    }
  }

  /** Has the items of a call that was not answered in time computed by other
   * calls; returns whether the call is kept beside these. A sound endpoint may
   * be silent for a second or two and go on: whichever result comes first is
   * used. */
  #handleOverdue(assignment: tasks.Assignment): boolean {
    const { clock, metrics, logger, service } = this.#options;
    if (!this.#scheduler.startOverdue(assignment, clock.now())) return false;
    const { worker, tasks } = assignment;
    metrics.count("pieces.overdue", tasks.length, { service });
    logger.info(
      { service, endpoint: worker.id, pieces: tasks.length },
      "Call to compute items is overdue; its items are queued again beside it",
    );
    for (const task of tasks) this.#retry(task, "unreachable");
    this.update();
    return true;
  }

  /** Uses the results of an overdue call for the items that have none yet, and
   * releases the others. */
  #handleOverdueEnd(
    assignment: tasks.Assignment,
    outcome: batchCalls.CallOutcome,
  ): void {
    const { clock, logger, service } = this.#options;
    const { worker, tasks } = assignment;
    const about = { service, endpoint: worker.id, pieces: tasks.length };
    if (outcome.type === "failed") {
      const { cause } = outcome;
      logger.info({ ...about, cause }, "Overdue call gave no results");
      return this.#scheduler.endOverdue(assignment);
    }
    const { results } = outcome;
    const held = heldResults(assignment, results);
    const now = clock.now();
    this.#scheduler.endOverdue(assignment, { results: held, now });
    logger.info({ ...about, made: held.length }, "Overdue call was answered");
    results.forEach((result, pos) => {
      if (result.type !== "made") return;
      const task = tasks[pos];
      this.#scheduler.removeTask(task);
      const { handle } = result;
      this.#complete(task, { piece: task.itemIndex, handle });
    });
  }

  #retry(task: tasks.Task, failure: schema.Result["failure"]): void {
    const pending = this.#pending.get(tasks.stageKey(task));
    const attempts = task.attempts + 1;
    if (pending === undefined || !isMissing(pending, task)) return;
    if (attempts < MAX_ATTEMPTS) {
      this.#scheduler.add([{ ...task, attempts }]);
    } else this.#complete(task, { piece: task.itemIndex, failure });
  }

  #complete(task: tasks.Task, result: schema.Result): void {
    const key = tasks.stageKey(task);
    const pending = this.#pending.get(key);
    if (pending === undefined || !isMissing(pending, task)) {
      if (result.handle !== undefined) this.release([result.handle]);
      return;
    }
    pending.results.set(task.itemIndex, result);
    if (pending.results.size < pending.question.pieces.length) return;
    this.#pending.delete(key);
    pending.resolve([...pending.results.values()]);
  }

  #sendReleases(): void {
    this.#isReleaseScheduled = false;
    const batches = [...this.#toRelease];
    this.#toRelease.clear();
    for (const [holder, handles] of batches) {
      void this.#sendRelease(holder, [...handles]);
    }
  }

  /** Releases results at the endpoint that holds them. Their memory counts as
   * free only once the endpoint has confirmed it. */
  async #sendRelease(
    address: string,
    handles: readonly string[],
  ): Promise<void> {
    const { clock, endpointAt } = this.#options;
    const endpoint = endpointAt(address);
    const grant = endpoint && this.#requestGrant(endpoint);
    const wait = grant ? await grant : 0;
    // Results expire by themselves; until the next attempt these are collected
    // with others.
    if (wait > 0) {
      clock.after(wait, () => this.release(handles));
      return;
    }
    const isConfirmed = await batchCalls.release(address, handles, {
      ...this.#options,
      onHead: (head) => {
        if (endpoint !== undefined) this.#recordHead(endpoint, head);
      },
    });
    if (!isConfirmed) return;
    this.#scheduler.releaseResults(address, handles);
    this.update();
  }
}

/** Whether a stage still waits for the result of a task. */
function isMissing(
  { question, results }: PendingStage,
  { itemIndex }: tasks.Task,
): boolean {
  return question.pieces.includes(itemIndex) && !results.has(itemIndex);
}

/** The results of an assignment's tasks that its endpoint holds. */
function heldResults(
  { tasks }: tasks.Assignment,
  results: readonly protocols.ItemResult[],
): workerStates.HeldResult[] {
  return results.flatMap((result, pos) =>
    result.type === "made"
      ? [{ handle: result.handle, bytes: tasks[pos].bytes }]
      : []
  );
}

/** The task with the attempt taken back: an endpoint without memory has not
 * tried it. */
function withoutAttempt(task: tasks.Task): tasks.Task {
  return { ...task, attempts: task.attempts - 1 };
}

/** Pause after an endpoint has rejected a call because its queue was full:
 * about the duration of one call. */
const QUEUE_FULL_PAUSE_MS = 120;
/** Pause after no connection to an endpoint could be opened. It does not grow:
 * the endpoint has received nothing, and paths to it are probed more often. */
const UNREACHABLE_PAUSE_MS = 300;

function tasksOf(
  question: schema.MakeQuestion,
  now: number,
): tasks.Task[] {
  const { request, stage, key, inputs, bytes, rank, dataCentre } = question;
  const { moved: transferBytes = bytes } = question;
  const expiresAt = now + question.remaining;
  const dueAt = now + (question.slack ?? question.remaining);
  return question.pieces.map((itemIndex) => ({
    request,
    stage,
    itemIndex,
    key,
    inputs,
    bytes,
    expiresAt,
    dueAt,
    rank,
    dataCentre,
    transferBytes,
    attempts: 0,
  }));
}
