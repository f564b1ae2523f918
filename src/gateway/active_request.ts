/** The life of one request: read, judged, its pieces made, sent, answered.
 * @module */

import type * as http from "node:http";
import * as configurations from "../configuration/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as admission from "./admission.ts";
import * as attempts from "./attempt.ts";
import * as bodies from "./body.ts";
import * as callTerms from "./call_limits.ts";
import type * as contexts from "./context.ts";
import type * as endpoint from "./endpoint.ts";
import * as endpointAdmission from "./endpoint_admission.ts";
import type * as eventText from "./event_buffer.ts";
import type * as placements from "./placement.ts";
import type * as protocols from "./protocol.ts";
import * as readings from "./call_load.ts";
import * as refusals from "./refusal.ts";
import * as replies from "./reply.ts";
import * as retry from "./retry.ts";
import * as staging from "./pipeline_run.ts";
import * as targetChoices from "./target_choice.ts";
import * as verdicts from "./health_signal.ts";

/** Times that lost results are made again. */
const REMAKES = 1;

type Phase = "reading" | "pieces" | "sent" | "streaming" | "over";

/** What one call was, for the log line of its request. */
interface CallNote {
  endpoint: string;
  ms: number;
  outcome: string;
  /** Who chose the engine. */
  placedBy?: placements.PlacementSource;
  /** Milliseconds to the first event of a stream. */
  first?: number;
}

/** A request under way. */
export class ActiveRequest {
  readonly #context: contexts.Context;
  readonly #request: http.IncomingMessage;
  readonly #reply: replies.Reply;
  readonly #arrival: number;
  readonly #calls: CallNote[] = [];
  #phase: Phase = "reading";
  #ask?: protocols.IncomingRequest;
  #route?: configurations.Route;
  #account?: configurations.Account;
  #rank = 0;
  #body: Buffer = NOTHING;
  #admission?: endpointAdmission.EndpointAdmission;
  #until = Infinity;
  /** Milliseconds for which its caller had waited before this attempt. */
  #waited = 0;
  #cancelTimer = () => {};
  #attempt?: attempts.Attempt;
  #runs = 0;
  /** Milliseconds from its arrival to the first event that was passed on. */
  #firstMs?: number;
  #lastId?: string;
  #fallback?: { head: protocols.ReplyHead; body: Buffer };
  #staging?: staging.PipelineRun;
  #resolveOver!: () => void;
  /** Resolves when the request is answered or given up. */
  readonly finished: Promise<void>;

  private constructor(
    context: contexts.Context,
    { request, response }: HttpExchange,
  ) {
    this.#context = context;
    this.#request = request;
    const { isDraining } = context;
    this.#reply = replies.Reply.create({ request, response, isDraining });
    this.#arrival = context.clock.now();
    this.finished = new Promise((resolve) => this.#resolveOver = resolve);
  }

  /** Serves a request. */
  static start(context: contexts.Context, pair: HttpExchange): ActiveRequest {
    const passage = new ActiveRequest(context, pair);
    pair.response.once("close", () => passage.#closed());
    void passage.#serve();
    return passage;
  }

  /** Whether a caller still waits for it. */
  get isFinished(): boolean {
    return this.#phase === "over";
  }

  /** Gives the request up: the host must end now. */
  abort(): void {
    if (this.isFinished) return;
    this.#refuse(this.#mayHaveRun ? "failed" : "stopping");
  }

  async #serve(): Promise<void> {
    try {
      const body = await this.#admit();
      if (this.isFinished) return;
      this.#body = body;
      this.#admission = endpointAdmission.EndpointAdmission.create(
        this.#context,
        { ...this.#ask!, account: this.#account?.name, body },
      );
      const denial = this.#admission.denial();
      if (denial !== undefined) {
        return this.#refuse(denial.reason, denial.details);
      }
      const { random } = this.#context;
      const service = admission.pickService(this.#route!, random);
      const inputs = await this.#prepare(service);
      if (this.isFinished) return;
      await this.#send({ service, inputs });
    } catch (error) {
      const request = this.#ask?.id;
      this.#context.logger.error({ err: error, request }, "Request failed");
      this.#refuse(this.#mayHaveRun ? "failed" : "not-run");
    }
  }

  /** Whether an endpoint may have begun to work on it, or may be at it now. */
  get #mayHaveRun(): boolean {
    return this.#runs > 0 || this.#phase === "sent";
  }

  /** Reads the request and judges whether it may pass. */
  async #admit(): Promise<Buffer> {
    const { protocol, fleetView: knowledge, clock } = this.#context;
    const reading = protocol.decodeRequest(this.#request);
    if (reading.type === "malformed") {
      return this.#stop("malformed", { detail: reading.detail });
    }
    const { request: ask } = reading;
    this.#ask = ask;
    const reason = this.#context.isStopping() ? "stopping" : this.#judge(ask);
    if (reason !== undefined) {
      return this.#stop(reason, this.#returnFor(reason));
    }
    const route = this.#route!;
    this.#waited = this.#context.priorWait.estimate(route.name, ask.timeout);
    const patience = Math.min(route.timeout, ask.timeout ?? Infinity);
    this.#until = this.#arrival + patience;
    this.#cancelTimer = clock.after(patience, () => this.#timeOut());
    const { limits } = knowledge.catalogue()!.configuration;
    const body = await bodies.read(this.#request, limits.bodyBytes);
    if (typeof body === "string") return this.#stop(body);
    // The version may have changed while a slow body came in.
    const now = this.#judge(ask);
    if (now !== undefined && !this.isFinished) return this.#stop(now);
    return body;
  }

  /** Why a request may not pass; notes route, account and rank when it may. */
  #judge(ask: protocols.IncomingRequest): refusals.RefusalReason | undefined {
    const judged = admission.admit(ask, this.#context);
    this.#route = judged.route;
    this.#account = judged.account;
    this.#rank = judged.rank ?? 0;
    return judged.reason;
  }

  /** When to come back, where that hangs on more than the reason. */
  #returnFor(reason: refusals.RefusalReason): About {
    if (reason !== "no-configuration") return {};
    const { clock, startedAt: started } = this.#context;
    const uptime = clock.now() - started;
    return { retryAfter: refusals.retryAfterUnconfigured(uptime) };
  }

  /** Has the pieces of the request's stages made. */
  async #prepare(service: string): Promise<readonly string[] | undefined> {
    const route = this.#route!;
    if (route.stages.length === 0) return undefined;
    this.#phase = "pieces";
    const made = this.#staging;
    this.#staging ??= await staging.PipelineRun.create(this.#context, {
      request: this.#ask!,
      route,
      rank: this.#rank,
      service,
      arrival: this.#arrival,
      priorWait: this.#waited,
      deadline: this.#until,
    });
    if (this.isFinished) return undefined;
    const result = await (made?.rerun() ?? this.#staging.run());
    if (this.isFinished) return undefined;
    if (result.type === "made") return result.inputs;
    return this.#stop(result.reason, result.about);
  }

  /** Calls endpoints until one gives the answer or no other may be asked. */
  async #send(
    { service, inputs: first }: {
      service: string;
      inputs: readonly string[] | undefined;
    },
  ): Promise<void> {
    const { clock } = this.#context;
    let inputs = first;
    let remakes = 0;
    this.#context.retryBudget(service).deposit(clock.now());
    const targets = this.#targets(service);
    for (;;) {
      const chosen = await targets.choose({
        called: this.#calls.map(({ endpoint }) => endpoint),
        planned: this.#staging?.planned,
        isFinished: () => this.isFinished,
      });
      if (this.isFinished) return;
      if (chosen.type === "none") {
        return this.#conclude(chosen.reason, chosen.about);
      }
      const outcome = await this.#call(chosen.target, inputs);
      if (this.isFinished) return;
      if (outcome.type === "ended") return this.#endStream();
      if (outcome.type === "answer") {
        // A refusal of a stream that has begun elsewhere is no answer to it.
        if (this.#reply.head !== undefined) return this.#conclude("failed");
        if (!this.#mayRepeatAnswer(outcome, service)) {
          return this.#answer(outcome);
        }
        continue;
      }
      if (!this.#mayRepeat(outcome, service)) return this.#conclude("not-run");
      if (outcome.cause === "lacks-input" || this.#staging?.isReleased) {
        if (remakes++ >= REMAKES) return this.#conclude("not-run");
        inputs = await this.#prepare(service);
        if (this.isFinished) return;
      }
    }
  }

  #targets(service: string): targetChoices.TargetChoice {
    return targetChoices.TargetChoice.create(this.#context, {
      service,
      prompt: this.#ask!.prompt,
      objective: this.#route!.objective,
      deadline: this.#until,
      admission: this.#admission!,
    });
  }

  async #call(
    { endpoint: target, placed }: targetChoices.Target,
    inputs: readonly string[] | undefined,
  ): Promise<attempts.Outcome> {
    const { clock, metrics, loadUpdates: loadGossip } = this.#context;
    const { id, name, service } = target.identity;
    const started = clock.now();
    const note: CallNote = { endpoint: id, ms: 0, outcome: "open" };
    if (placed !== undefined) note.placedBy = placed.source;
    this.#calls.push(note);
    this.#phase = this.#reply.head === undefined ? "sent" : "streaming";
    metrics.count("gateway.sent", 1, { service });
    if (this.#calls.length > 1) {
      metrics.count("gateway.repeated", 1, { service });
    }
    const reading = readings.CallLoad.begin(target, {
      ...this.#context,
      prompt: this.#ask!.prompt,
      prefillTokens: placed?.cacheMiss.prefillTokens ?? 0,
      ...(placed?.source === "owner" && { pendingWork: placed.pendingWork }),
    });
    const onFirst = () => {
      if (reading.firstEventTime === undefined) {
        this.#noteFirst(target, { reading, note });
      }
    };
    this.#attempt = attempts.Attempt.start({
      ...this.#context,
      endpoint: target,
      request: this.#ask!,
      metadata: {
        ...this.#terms(name, inputs),
        fetchFrom: placed?.cacheMiss.source?.identity.address,
      },
      body: this.#body.length > 0 ? this.#body : undefined,
      deadline: this.#until,
      idleTimeout: callTerms.idleTimeoutOf(
        this.#route!,
        this.#reply.head !== undefined,
      ),
      onHead: ({ rateLimit, coldFor = 0 }) => {
        this.#context.quotas.recordLimit(id, rateLimit);
        target.recordCold(coldFor, clock.now());
      },
      stream: this.#route!.kind === "streaming"
        ? this.#listener(onFirst)
        : undefined,
    });
    const hold = this.#context.inputRetention.time(service);
    const cancelRelease = inputs === undefined
      ? () => {}
      : clock.after(hold, () => this.#staging?.release());
    const outcome = await this.#attempt.outcome;
    cancelRelease();
    if (this.#lacksReleased(outcome)) {
      this.#context.inputRetention.recordMissing(service, hold);
    }
    reading.end();
    note.ms = Math.round(clock.now() - started);
    note.outcome = verdicts.outcomeName(outcome);
    verdicts.record(target, outcome, {
      now: clock.now(),
      duration: clock.now() - started,
      metrics,
    });
    // Who places prompts there must hear of failures that are not its own.
    if (placed?.source === "owner") {
      loadGossip.record(target, { signal: verdicts.signalOf(outcome) });
    }
    if (outcome.type !== "failed" || outcome.mayHaveRun) this.#runs++;
    this.#admission!.recordOutcome(id, outcome);
    return outcome;
  }

  /** Whether a call lacked results that were given up, as it seems, too soon. */
  #lacksReleased(outcome: attempts.Outcome): boolean {
    return outcome.type === "failed" && outcome.cause === "lacks-input" &&
      this.#staging!.isReleased;
  }

  #terms(
    endpoint: string,
    inputs: readonly string[] | undefined,
  ): protocols.CallMetadata {
    const { clock } = this.#context;
    return {
      endpoint,
      account: this.#account?.name,
      remaining: callTerms.remainingTime(this.#until, clock.now()),
      urgency: callTerms.urgencyOf(this.#rank, this.#staging?.isLate ?? false),
      inputs,
      resumeAfter: this.#lastId ?? this.#ask!.resumeAfter,
    };
  }

  #noteFirst(
    target: endpoint.Endpoint,
    { reading, note }: { reading: readings.CallLoad; note: CallNote },
  ): void {
    const { clock, metrics, inputRetention: inputHold } = this.#context;
    reading.recordFirstEvent();
    note.first = Math.round(reading.firstEventTime!);
    if (this.#staging?.isReleased) {
      inputHold.recordSuccess(target.identity.service);
    }
    metrics.time("gateway.first_event", clock.now() - this.#arrival, {
      route: this.#route!.name,
    });
  }

  #listener(onFirst: () => void): attempts.StreamListener {
    let head: protocols.ReplyHead;
    return {
      head: (each) => void (head = each),
      events: (whole) => {
        onFirst();
        this.#passOn(head, whole);
      },
    };
  }

  /** Passes whole events on; the first ones bring the head with them. */
  #passOn(head: protocols.ReplyHead, whole: eventText.CompleteEvents): void {
    if (this.isFinished) return;
    if (this.#reply.head === undefined) {
      this.#firstMs = Math.round(this.#context.clock.now() - this.#arrival);
      this.#beginStream(head);
    }
    if (whole.lastId !== undefined) this.#lastId = whole.lastId;
    this.#reply.write(whole.bytes);
  }

  #beginStream(head: protocols.ReplyHead): void {
    this.#phase = "streaming";
    this.#staging?.release();
    if (configurations.isIdempotent(this.#route!)) {
      this.#attempt?.setIdleTimeout(callTerms.EVENT_IDLE_TIMEOUT_MS);
    }
    this.#reply.startStream(head);
  }

  #endStream(): void {
    // A stream without events has a head all the same.
    const { head } = this.#reply;
    if (head === undefined) return this.#conclude("failed");
    this.#finish();
    this.#reply.end();
    this.#log("info", { status: head.status }, "Request answered");
  }

  #answer({ head, body }: { head: protocols.ReplyHead; body: Buffer }): void {
    this.#finish();
    this.#reply.send(head, body);
    this.#log("info", { status: head.status }, "Request answered");
  }

  /** Whether an endpoint's own failure is followed by another call; it is kept
   * for the case that no other answer comes. */
  #mayRepeatAnswer(
    outcome: Extract<attempts.Outcome, { type: "answer" }>,
    service: string,
  ): boolean {
    const { head } = outcome;
    const sends = this.#calls.length;
    const history = { runs: this.#runs, sends };
    if (!retry.shouldRetryAnswer(this.#route!, head, history)) return false;
    this.#fallback = outcome;
    return this.#spend(service);
  }

  #mayRepeat(
    outcome: Extract<attempts.Outcome, { type: "failed" }>,
    service: string,
  ): boolean {
    const history = { runs: this.#runs, sends: this.#calls.length };
    const verdict = retry.afterFailure(this.#route!, outcome, history);
    if (verdict === "again-free") return true;
    return verdict === "again" && this.#spend(service);
  }

  #spend(service: string): boolean {
    const { clock, fleetView: knowledge, metrics } = this.#context;
    const budget = this.#context.retryBudget(service);
    const isSpent = budget.tryWithdraw(clock.now(), knowledge.hostCount());
    if (!isSpent) metrics.count("gateway.no_budget", 1, { service });
    return isSpent;
  }

  /** The end of a request that no call has answered. */
  #conclude(reason: refusals.RefusalReason, about: About = {}): void {
    const isOpen = this.#reply.head === undefined;
    if (isOpen && this.#fallback !== undefined) {
      return this.#answer(this.#fallback);
    }
    this.#refuse(reason, about);
  }

  #timeOut(): void {
    if (this.isFinished) return;
    this.#refuse(this.#mayHaveRun ? "timeout" : "timeout-not-run");
  }

  /** Ends a stream so that it does not look complete. */
  #breakOff(reason: refusals.RefusalReason): void {
    this.#finish();
    this.#context.metrics.count("gateway.refused", 1, { reason });
    this.#reply.abort();
    this.#log("warn", { reason, lastEvent: this.#lastId }, "Stream broken off");
  }

  #refuse(reason: refusals.RefusalReason, about: About = {}): void {
    if (this.isFinished) return;
    // A stream that has begun has its head; its pieces may be made again.
    if (this.#reply.head !== undefined) return this.#breakOff(reason);
    // A call may have run before, and its pieces failed to be made again.
    if (this.#runs > 0 && refusals.guaranteesNotRun(reason)) {
      const { retryAfter: _, ...rest } = about;
      return this.#refuse("failed", { ...rest, after: reason });
    }
    this.#finish();
    const { status, retryAfter } = { ...refusals.REFUSALS[reason], ...about };
    this.#context.metrics.count("gateway.refused", 1, { reason });
    this.#reply.refuse(reason, { status, retryAfter });
    this.#log("info", { status, reason, ...about }, "Request refused");
  }

  /** Refuses, and says to the caller of a step that it is over. */
  #stop(reason: refusals.RefusalReason, about: About = {}): never[] & Buffer {
    this.#refuse(reason, about);
    return NOTHING as never[] & Buffer;
  }

  /** The caller's connection has closed. */
  #closed(): void {
    if (this.isFinished) return;
    this.#reply.isDisconnected = true;
    this.#context.metrics.count("gateway.left");
    const route = this.#route;
    const isSent = this.#phase === "sent";
    // What must not be repeated goes on: cut off, nobody would know its end.
    if (isSent && route !== undefined && !configurations.isCancellable(route)) {
      return;
    }
    this.#finish();
    this.#log("info", { reason: "left" }, "Caller left");
  }

  #finish(): void {
    this.#phase = "over";
    this.#cancelTimer();
    this.#attempt?.cancel();
    this.#staging?.close();
    this.#resolveOver();
  }

  /** Whether an answer that took so many milliseconds met the objective. */
  #timeliness(ms: number): "in-time" | "late" {
    const { objective = Infinity } = this.#route ?? {};
    const took = this.#waited + (this.#firstMs ?? ms);
    return took <= objective ? "in-time" : "late";
  }

  #log(
    level: keyof telemetry.Logger,
    about: About & { readonly reason?: refusals.RefusalReason | "left" },
    message: string,
  ): void {
    const { clock, logger, metrics, fleetView: knowledge } = this.#context;
    const ms = Math.round(clock.now() - this.#arrival);
    const route = this.#route?.name;
    metrics.time("gateway.duration", ms, { route: route ?? "none" });
    metrics.count("gateway.ended", 1, {
      route: route ?? "none",
      ending: about.reason ?? this.#timeliness(ms),
    });
    logger[level]({
      request: this.#ask?.id,
      route,
      account: this.#account?.name,
      ms,
      objectiveMs: this.#route?.objective,
      rank: this.#route && this.#rank,
      routePriority: this.#route?.priority,
      accountPriority: this.#account?.priority,
      firstMs: this.#firstMs,
      ...(this.#waited > 0 && { waitedMs: Math.round(this.#waited) }),
      stages: this.#staging?.record,
      calls: this.#calls,
      fingerprint: this.#admission?.fingerprint,
      version: knowledge.catalogue()?.version,
      ageMs: Math.round(knowledge.configurationAge()),
      ...about,
    }, message);
  }
}

/** What is known of a refusal, for its log line. */
interface About extends Readonly<Record<string, unknown>> {
  /** Seconds after which to come back, in place of those of the reason. */
  readonly retryAfter?: number;
}

/** A request, and the way to answer it. */
export interface HttpExchange {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
}

const NOTHING = Buffer.alloc(0);
