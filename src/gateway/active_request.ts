/** Serves one caller's request: decodes and admits it, runs the stages of its
 * route, calls endpoints with retries, and relays the answer.
 * @module */

import type * as http from "node:http";
import type * as net from "node:net";
import * as configurations from "../configuration/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as admissions from "./admission.ts";
import * as announcementRecords from "./announcement_records.ts";
import * as attempts from "./attempt.ts";
import * as bodies from "./body.ts";
import type * as callerConnections from "./caller_connection.ts";
import * as callLimits from "./call_limits.ts";
import type * as contexts from "./context.ts";
import type * as endpoints from "./endpoint.ts";
import * as endpointAdmissions from "./endpoint_admission.ts";
import type * as eventBuffers from "./event_buffer.ts";
import type * as protocols from "./protocol.ts";
import * as callLoads from "./call_load.ts";
import * as callRecords from "./call_record.ts";
import * as refusals from "./refusal.ts";
import * as replies from "./reply.ts";
import * as retries from "./retry.ts";
import * as shareCharges from "./share_charge.ts";
import * as pipelineRuns from "./pipeline_run.ts";
import * as streamBindings from "./stream_binding.ts";
import type * as unreadReplies from "./unread_replies.ts";
import * as targetChoices from "./target_choice.ts";
import * as timeliness from "./timeliness.ts";
import * as healthSignals from "./health_signal.ts";

/** Times that the stages of a request are run again after results are lost. */
const MAX_STAGE_RERUNS = 1;
/** Time in which endpoints that are reached send something: then a broken call is
 * not the fault of the path. */
const RECEIVE_WINDOW_MS = 1000;

/** Phase of a request: "pieces" while its stages run, "sent" while a call runs
 * whose answer is not relayed yet. */
type Phase = "reading" | "pieces" | "sent" | "streaming" | "finished";

/** A caller's request, from its arrival until it is answered or abandoned. */
export class ActiveRequest {
  readonly #context: contexts.Context;
  readonly #message: http.IncomingMessage;
  readonly #reply: replies.Reply;
  readonly #arrivedAt: number;
  readonly #calls: callRecords.CallRecord[] = [];
  #phase: Phase = "reading";
  #incoming?: protocols.IncomingRequest;
  #route?: configurations.Route;
  #account?: configurations.Account;
  #rank = 0;
  #body: Buffer = EMPTY_BODY;
  #endpointAdmission?: endpointAdmissions.EndpointAdmission;
  #deadline = Infinity;
  /** Milliseconds that the caller waited before this attempt of it. */
  #priorWait = 0;
  #cancelTimer = () => {};
  #attempt?: attempts.Attempt;
  #runs = 0;
  /** Milliseconds from arrival to the first event sent to the caller. */
  #firstEventMs?: number;
  #lastEventId?: string;
  #errorAnswer?: { head: protocols.ReplyHead; body: Buffer };
  #pipelineRun?: pipelineRuns.PipelineRun;
  #binding?: streamBindings.StreamBinding;
  /** Absent where accounts have no shares. */
  #shareCharge?: shareCharges.ShareCharge;
  /** Whether an error of this host has ended the request. */
  #hasFailed = false;
  #resolveFinished!: () => void;
  /** Resolves when the request is answered, refused or abandoned. */
  readonly finished: Promise<void>;

  private constructor(
    context: contexts.Context,
    { request, response, unreadReplies, connection }: HttpExchange,
  ) {
    this.#context = context;
    this.#message = request;
    const { isDraining } = context;
    this.#reply = replies.Reply.create({
      request,
      response,
      unreadReplies,
      closesConnection: ({ isUnread }) =>
        connection.announcesClose(request, isUnread || isDraining()),
      onAbortUnread: (unreadBytes) => this.#recordAbort(unreadBytes),
    });
    this.#arrivedAt = context.clock.now();
    this.finished = new Promise((resolve) => this.#resolveFinished = resolve);
  }

  /** Starts to serve a request. */
  static start(
    context: contexts.Context,
    exchange: HttpExchange,
  ): ActiveRequest {
    const active = new ActiveRequest(context, exchange);
    exchange.response.once(
      "close",
      () => active.#guard(() => active.#onClose()),
    );
    void active.#serve();
    return active;
  }

  /** Connection of the caller. */
  get socket(): net.Socket {
    return this.#message.socket;
  }

  /** Whether the request is answered, refused or abandoned. */
  get isFinished(): boolean {
    return this.#phase === "finished";
  }

  /** Ends the request at once because the host stops. */
  abort(): void {
    if (this.isFinished) return;
    this.#guard(() => this.#refuse(this.#mayHaveRun ? "failed" : "stopping"));
  }

  async #serve(): Promise<void> {
    try {
      const body = await this.#admit();
      if (this.isFinished) return;
      this.#body = body;
      this.#endpointAdmission = endpointAdmissions.EndpointAdmission.create(
        this.#context,
        { ...this.#incoming!, account: this.#account?.name, body },
      );
      const denial = this.#endpointAdmission.denial();
      if (denial !== undefined) {
        return this.#refuse(denial.reason, denial.details);
      }
      const service = await this.#chooseService();
      if (service === undefined || !this.#chargeShare(service)) return;
      const inputs = await this.#runStages(service);
      if (this.isFinished) return;
      await this.#callEndpoints({ service, inputs });
    } catch (error) {
      this.#fail(error);
    }
  }

  /** Runs a step outside of `#serve`, in a callback of a timer or a connection,
   * where an error would end the process or be taken for the endpoint's. */
  #guard(step: () => void): void {
    try {
      step();
    } catch (error) {
      this.#fail(error);
    }
  }

  /** Ends the request after an error of this host. A caller that has no part of
   * its reply is refused; if it has one, or the refusal fails too, its connection
   * is aborted. A reply that is complete stays as it is. */
  #fail(error: unknown): void {
    const { logger, metrics } = this.#context;
    const phase = this.#phase;
    const mayRefuse = !this.#hasFailed && !this.isFinished;
    this.#hasFailed = true;
    logger.error({
      err: error,
      request: this.#incoming?.id,
      route: this.#route?.name,
      phase,
      calls: this.#calls,
    }, "Request failed");
    try {
      metrics.count("gateway.errors", 1, { phase });
      const mayHaveRun = this.#mayHaveRun;
      this.#shareCharge?.endByError({ mayHaveRun });
      if (mayRefuse) this.#refuse(mayHaveRun ? "failed" : "not-run");
    } catch (second) {
      logger.error(
        { err: second, request: this.#incoming?.id },
        "Request that failed could not be refused",
      );
    }
    if (!this.#reply.isEnded) this.#reply.abort();
    if (!this.isFinished) this.#release();
  }

  /** Chooses the service before any stage runs; refuses the request if there is
   * none, or if its endpoints accept no call within the objective. */
  async #chooseService(): Promise<string | undefined> {
    this.#binding = streamBindings.StreamBinding.create(this.#context, {
      incoming: this.#incoming!,
      route: this.#route!,
      account: this.#account,
    });
    const choice = await this.#binding.chooseService();
    if (choice.type === "none") {
      return void this.#refuse(choice.reason, choice.details);
    }
    return this.isFinished ? undefined : choice.service;
  }

  /** Charges the request to the share of its account; refuses it and returns
   * false if that is used up. */
  #chargeShare(service: string): boolean {
    const { accountShares, fleetView } = this.#context;
    // Requests of public routes belong to no account.
    if (accountShares === undefined || this.#account === undefined) return true;
    const result = shareCharges.ShareCharge.create(accountShares, {
      service,
      traitsOf: (name) => fleetView.catalogue()?.service(name)?.batching,
      request: this.#incoming!,
      route: this.#route!,
      account: this.#account,
      rank: this.#rank,
      priorWait: this.#priorWait,
    });
    if (result.type === "admitted") {
      this.#shareCharge = result.charge;
      return true;
    }
    const { clock, retryBudget } = this.#context;
    retryBudget(service).withhold(this.#account.name, clock.now());
    this.#refuse("over-share", result.details);
    return false;
  }

  /** Whether an endpoint may have executed the request or may be executing
   * it. */
  get #mayHaveRun(): boolean {
    return this.#runs > 0 || this.#phase === "sent" ||
      this.#phase === "streaming";
  }

  /** Decodes the request, admits it and reads its body. */
  async #admit(): Promise<Buffer> {
    const { protocol, fleetView, clock } = this.#context;
    const decoded = protocol.decodeRequest(this.#message);
    if (decoded.type === "malformed") {
      return this.#refuseStep("malformed", { detail: decoded.detail });
    }
    const { request: incoming } = decoded;
    this.#incoming = incoming;
    const reason = this.#context.isStopping()
      ? "stopping"
      : this.#evaluate(incoming);
    if (reason !== undefined) {
      return this.#refuseStep(reason, this.#retryDetails(reason));
    }
    const route = this.#route!;
    this.#priorWait = this.#context.priorWait.estimate(
      route.name,
      incoming.timeout,
    );
    const timeout = Math.min(route.timeout, incoming.timeout ?? Infinity);
    this.#deadline = this.#arrivedAt + timeout;
    this.#cancelTimer = clock.after(
      timeout,
      () => this.#guard(() => this.#timeOut()),
    );
    const { limits } = fleetView.catalogue()!.configuration;
    const body = await bodies.read(this.#message, limits.bodyBytes);
    if (typeof body === "string") return this.#refuseStep(body);
    // The configuration may have changed while a slow body was received.
    const laterReason = this.#evaluate(incoming);
    if (laterReason !== undefined && !this.isFinished) {
      return this.#refuseStep(laterReason);
    }
    return body;
  }

  /** Sets the request's route, account and rank; returns the reason when it is
   * refused. */
  #evaluate(
    incoming: protocols.IncomingRequest,
  ): refusals.RefusalReason | undefined {
    const decision = admissions.admit(incoming, this.#context);
    this.#route = decision.route;
    this.#account = decision.account;
    this.#rank = decision.rank ?? 0;
    return decision.reason;
  }

  /** The retry delay of a refusal where it does not follow from the reason
   * alone. */
  #retryDetails(reason: refusals.RefusalReason): RefusalDetails {
    if (reason !== "no-configuration") return {};
    const { clock, startedAt } = this.#context;
    const uptime = clock.now() - startedAt;
    return { retryAfter: refusals.retryAfterUnconfigured(uptime) };
  }

  /** Runs the stages of the request's route; resolves with their results. */
  async #runStages(service: string): Promise<readonly string[] | undefined> {
    const route = this.#route!;
    if (route.stages.length === 0) return undefined;
    this.#phase = "pieces";
    const earlier = this.#pipelineRun;
    this.#pipelineRun ??= await pipelineRuns.PipelineRun.create(this.#context, {
      request: this.#incoming!,
      route,
      rank: this.#rank,
      service,
      version: this.#binding?.version,
      arrival: this.#arrivedAt,
      priorWait: this.#priorWait,
      deadline: this.#deadline,
    });
    if (this.isFinished) return undefined;
    const result = await (earlier?.rerun() ?? this.#pipelineRun.run());
    if (this.isFinished) return undefined;
    if (result.type === "made") return result.inputs;
    return this.#refuseStep(result.reason, result.about);
  }

  /** Calls endpoints until one answers or no further call is allowed. */
  async #callEndpoints(
    { service, inputs: first }: {
      service: string;
      inputs: readonly string[] | undefined;
    },
  ): Promise<void> {
    const { clock } = this.#context;
    let inputs = first;
    let reruns = 0;
    this.#context.retryBudget(service).deposit(clock.now());
    const targets = this.#createTargetChoice(service);
    for (;;) {
      const chosen = await targets.choose({
        called: this.#calls.map(({ endpoint }) => endpoint),
        planned: this.#pipelineRun?.planned,
        version: this.#binding?.version,
        isFinished: () => this.isFinished,
      });
      if (this.isFinished) return;
      if (chosen.type === "none") {
        return this.#endUnanswered(chosen.reason, chosen.about);
      }
      const outcome = await this.#call(chosen.target, inputs);
      if (this.isFinished) return;
      if (outcome.type === "ended") return this.#endStream();
      if (outcome.type === "answer") {
        // The caller already has the head of a stream: another endpoint's plain
        // answer can't continue it.
        if (this.#reply.head !== undefined) {
          return this.#endUnanswered("failed");
        }
        if (!this.#mayRetryAnswer(outcome, service)) {
          return this.#answer(outcome);
        }
        continue;
      }
      if (!this.#mayRetry(outcome, service)) {
        return this.#endUnanswered("not-run");
      }
      if (outcome.cause === "lacks-input" || this.#pipelineRun?.isReleased) {
        if (reruns++ >= MAX_STAGE_RERUNS) return this.#endUnanswered("not-run");
        inputs = await this.#runStages(service);
        if (this.isFinished) return;
      }
    }
  }

  #createTargetChoice(service: string): targetChoices.TargetChoice {
    return targetChoices.TargetChoice.create(this.#context, {
      service,
      prompt: this.#incoming!.prompt,
      objective: this.#route!.objective,
      deadline: this.#deadline,
      rank: this.#rank,
      endpointAdmission: this.#endpointAdmission!,
    });
  }

  async #call(
    chosen: targetChoices.Target,
    inputs: readonly string[] | undefined,
  ): Promise<attempts.Outcome> {
    const { endpoint: target, placed: placement } = chosen;
    const { clock, logger, metrics, loadUpdates, paths, slots } = this.#context;
    const { id, name, service, address } = target.identity;
    const started = clock.now();
    const wait = target.reportedWait(started);
    const record = callRecords.create(chosen);
    this.#calls.push(record);
    target.rejections.recordCall(started);
    this.#phase = this.#reply.head === undefined ? "sent" : "streaming";
    if (placement !== undefined) {
      this.#shareCharge?.correct(placement.cacheMiss.prefillTokens);
    }
    metrics.count("gateway.sent", 1, { service });
    if (this.#calls.length > 1) {
      metrics.count("gateway.repeated", 1, { service });
    }
    const callLoad = callLoads.CallLoad.start(target, {
      ...this.#context,
      prompt: this.#incoming!.prompt,
      prefillTokens: placement?.cacheMiss.prefillTokens ?? 0,
      isFetching: (placement?.cacheMiss.fetchTokens ?? 0) > 0,
      ...(placement?.source === "owner" &&
        { pendingWork: placement.pendingWork }),
    });
    slots.begin(id);
    const onEvents = () => {
      if (callLoad.firstEventTime !== undefined) return callLoad.recordEvent();
      this.#recordFirstEvent(target, { callLoad, record });
    };
    this.#attempt = attempts.Attempt.start({
      ...this.#context,
      endpoint: target,
      request: this.#incoming!,
      metadata: {
        ...this.#createMetadata(name, inputs),
        fetchFrom: placement?.cacheMiss.source?.identity.address,
      },
      body: this.#body.length > 0 ? this.#body : undefined,
      deadline: this.#deadline,
      idleTimeout: callLimits.idleTimeoutOf(
        this.#route!,
        this.#reply.head !== undefined,
      ),
      onHead: (head) =>
        this.#guard(() => this.#recordHead(target, { head, record, started })),
      stream: this.#route!.kind === "streaming"
        ? this.#createStreamListener(target, onEvents)
        : undefined,
    });
    const retentionTime = this.#context.inputRetention.time(service);
    const cancelRelease = inputs === undefined
      ? () => {}
      : clock.after(retentionTime, () => this.#pipelineRun?.release());
    const outcome = await this.#attempt.outcome;
    cancelRelease();
    slots.end(id);
    if (this.#missedReleasedInput(outcome)) {
      this.#context.inputRetention.recordMissing(service, retentionTime);
    }
    callLoad.end({ isSuccess: attempts.isSuccess(outcome) });
    record.ms = Math.round(clock.now() - started);
    record.relay = paths.relayOf(address);
    record.outcome = healthSignals.outcomeName(outcome);
    const isReceiving = paths.hasReceivedFromOthers(
      address,
      clock.now() - RECEIVE_WINDOW_MS,
    );
    healthSignals.record(target, outcome, {
      now: clock.now(),
      duration: clock.now() - started,
      wait,
      isReceiving,
      metrics,
      logger,
    });
    // The owner of the partition sees no calls of this host: it has to learn
    // how the calls that it placed end.
    if (placement?.source === "owner") {
      const signal = healthSignals.reportedSignalOf(outcome, isReceiving);
      loadUpdates.record(target, { signal });
    }
    if (outcome.type !== "failed" || outcome.mayHaveRun) this.#runs++;
    const call = { endpoint: id, startedAt: started };
    this.#endpointAdmission!.recordOutcome(outcome, call);
    return outcome;
  }

  /** Records what the head of an answer shows of its endpoint. */
  #recordHead(
    target: endpoints.Endpoint,
    { head, record, started }: {
      head: protocols.ReplyHead;
      record: callRecords.CallRecord;
      started: number;
    },
  ): void {
    const { quotas } = this.#context;
    if (!head.isNotRun) target.rejections.recordAcceptance(started);
    const { rateLimit, leaving, retryAfter } = head;
    quotas.recordLimit(target.identity.id, rateLimit);
    const request = this.#incoming!.id;
    announcementRecords.record(target, head, { ...this.#context, request });
    target.recordAnnouncedSlowness(head.load, this.#context.clock.now());
    if (leaving !== undefined) record.leaving = leaving;
    if (retryAfter !== undefined) record.retryAfterMs = retryAfter;
  }

  /** Whether a call failed for lack of inputs that were probably released too
   * early. */
  #missedReleasedInput(outcome: attempts.Outcome): boolean {
    return outcome.type === "failed" && outcome.cause === "lacks-input" &&
      this.#pipelineRun!.isReleased;
  }

  #createMetadata(
    endpoint: string,
    inputs: readonly string[] | undefined,
  ): protocols.CallMetadata {
    const { clock } = this.#context;
    return {
      endpoint,
      account: this.#account?.name,
      remaining: callLimits.remainingTime(this.#deadline, clock.now()),
      urgency: callLimits.urgencyOf(
        this.#rank,
        this.#pipelineRun?.isLate ?? false,
      ),
      inputs,
      resumeAfter: this.#lastEventId ?? this.#incoming!.resumeAfter,
    };
  }

  #recordFirstEvent(
    target: endpoints.Endpoint,
    { callLoad, record }: {
      callLoad: callLoads.CallLoad;
      record: callRecords.CallRecord;
    },
  ): void {
    const { clock, metrics, inputRetention } = this.#context;
    callLoad.recordFirstEvent();
    record.first = Math.round(callLoad.firstEventTime!);
    if (this.#pipelineRun?.isReleased) {
      inputRetention.recordSuccess(target.identity.service);
    }
    metrics.time("gateway.first_event", clock.now() - this.#arrivedAt, {
      route: this.#route!.name,
    });
  }

  #createStreamListener(
    target: endpoints.Endpoint,
    onEvents: () => void,
  ): attempts.StreamListener {
    let head: protocols.ReplyHead;
    return {
      head: (received) => void (head = received),
      events: (complete) =>
        this.#guard(() => {
          onEvents();
          this.#binding!.bind(target);
          this.#relay(head, complete);
        }),
    };
  }

  /** Relays complete events to the caller, and the head before the first. */
  #relay(
    head: protocols.ReplyHead,
    complete: eventBuffers.CompleteEvents,
  ): void {
    if (this.isFinished) return;
    if (this.#reply.head === undefined) {
      this.#firstEventMs = this.#age;
      this.#startStream(head);
    }
    if (complete.lastId !== undefined) this.#lastEventId = complete.lastId;
    this.#reply.write(complete.bytes);
  }

  #startStream(head: protocols.ReplyHead): void {
    this.#reply.startStream(head);
    this.#phase = "streaming";
    this.#pipelineRun?.release();
    if (configurations.isIdempotent(this.#route!)) {
      this.#attempt?.setIdleTimeout(callLimits.EVENT_IDLE_TIMEOUT_MS);
    }
  }

  #endStream(): void {
    // A stream that ends without any event is no answer: its head was not
    // relayed.
    const { head } = this.#reply;
    if (head === undefined) return this.#endUnanswered("failed");
    this.#reply.end();
    this.#finish();
    this.#log("info", { status: head.status }, "Request answered");
  }

  #answer({ head, body }: { head: protocols.ReplyHead; body: Buffer }): void {
    if (!retries.mayRelayAnswer(this.#route!, head)) {
      return this.#refuse("failed", { answered: head.status });
    }
    // Before the request counts as finished: if the answer can't be written, the
    // caller is refused.
    this.#reply.send(head, body);
    this.#finish();
    this.#log("info", { status: head.status }, "Request answered");
  }

  /** Whether an error answer of an endpoint is retried; the answer is kept in
   * case no other call gives one. */
  #mayRetryAnswer(
    outcome: Extract<attempts.Outcome, { type: "answer" }>,
    service: string,
  ): boolean {
    const { head } = outcome;
    const calls = this.#calls.length;
    const history = { runs: this.#runs, calls };
    if (!retries.shouldRetryAnswer(this.#route!, head, history)) return false;
    this.#errorAnswer = outcome;
    return this.#withdrawRetry(service);
  }

  #mayRetry(
    outcome: Extract<attempts.Outcome, { type: "failed" }>,
    service: string,
  ): boolean {
    const history = { runs: this.#runs, calls: this.#calls.length };
    const decision = retries.afterFailure(this.#route!, outcome, history);
    if (decision === "retry-free") return true;
    return decision === "retry" && this.#withdrawRetry(service);
  }

  #withdrawRetry(service: string): boolean {
    const { clock, fleetView, metrics } = this.#context;
    const budget = this.#context.retryBudget(service);
    const account = this.#account?.name ?? "";
    if (budget.isWithheldFrom(account, clock.now())) return false;
    const isAllowed = budget.tryWithdraw(clock.now(), fleetView.hostCount());
    if (!isAllowed) metrics.count("gateway.no_budget", 1, { service });
    return isAllowed;
  }

  /** Ends a request for which no further call is made: with an error answer of
   * an endpoint where there is one, else with a refusal. */
  #endUnanswered(
    reason: refusals.RefusalReason,
    details: RefusalDetails = {},
  ): void {
    const isUnstarted = this.#reply.head === undefined;
    if (isUnstarted && this.#errorAnswer !== undefined) {
      return this.#answer(this.#errorAnswer);
    }
    this.#refuse(reason, details);
  }

  #timeOut(): void {
    if (this.isFinished) return;
    this.#refuse(this.#mayHaveRun ? "timeout" : "timeout-not-run");
  }

  /** Aborts the stream, so that the caller can't take it for complete. */
  #abortStream(reason: refusals.RefusalReason): void {
    this.#finish(reason);
    this.#context.metrics.count("gateway.refused", 1, { reason });
    this.#reply.abort();
    this.#log(
      "warn",
      { reason, lastEvent: this.#lastEventId },
      "Stream broken off",
    );
  }

  #refuse(reason: refusals.RefusalReason, details: RefusalDetails = {}): void {
    if (this.isFinished) return;
    // The head of a stream is sent once; a refusal can follow it when its
    // stages are run again and fail.
    if (this.#reply.head !== undefined) return this.#abortStream(reason);
    // An earlier call may have run although the stages failed when they were
    // run again, so the refusal must not guarantee that nothing ran.
    if (this.#runs > 0 && refusals.guaranteesNotRun(reason)) {
      const { retryAfter: _, ...rest } = details;
      return this.#refuse("failed", { ...rest, after: reason });
    }
    const { status, retryAfter } = { ...refusals.REFUSALS[reason], ...details };
    this.#reply.refuse(reason, { status, retryAfter });
    this.#finish(reason);
    this.#context.metrics.count("gateway.refused", 1, { reason });
    this.#log("info", { status, reason, ...details }, "Request refused");
  }

  /** Refuses the request; the returned value ends the calling step. */
  #refuseStep(
    reason: refusals.RefusalReason,
    details: RefusalDetails = {},
  ): never[] & Buffer {
    this.#refuse(reason, details);
    return EMPTY_BODY as never[] & Buffer;
  }

  /** Ends and logs a request whose reply is aborted, as its caller has not read
   * it; a reply may be unread after its request has ended. */
  #recordAbort(unreadBytes: number): void {
    const message = "Reply aborted, as its caller has not read it";
    if (!this.isFinished) {
      this.#finish();
      const lastEvent = this.#lastEventId;
      this.#log("warn", { reason: "unread", unreadBytes, lastEvent }, message);
      return;
    }
    const { clock, logger } = this.#context;
    logger.warn({
      request: this.#incoming?.id,
      route: this.#route?.name,
      account: this.#account?.name,
      ms: Math.round(clock.now() - this.#arrivedAt),
      unreadBytes,
    }, message);
  }

  /** Handles that the caller has ended its side of the connection: it has left,
   * or it reads on. A call that can't be cancelled goes on, and its answer is sent;
   * any other request is refused, for a caller that reads on. */
  callerEnded(): void {
    if (this.isFinished || this.#isUncancellable) return;
    this.#guard(() => {
      this.#context.metrics.count("gateway.left");
      if (this.#reply.head === undefined) this.#refuseLeft();
      else this.#reply.abort();
      this.#finish("left");
      this.#log("info", { reason: "left" }, "Caller left");
    });
  }

  #refuseLeft(): void {
    const reason = this.#mayHaveRun ? "failed" : "left";
    this.#reply.refuse(reason, refusals.REFUSALS[reason]);
  }

  /** Whether a call runs that is not cancelled when its caller leaves: its outcome
   * would stay unknown. */
  get #isUncancellable(): boolean {
    const route = this.#route;
    return this.#phase === "sent" && route !== undefined &&
      !configurations.isCancellable(route);
  }

  /** Handles the end of the caller's connection. */
  #onClose(): void {
    if (this.isFinished) return;
    this.#reply.isDisconnected = true;
    this.#context.metrics.count("gateway.left");
    if (this.#isUncancellable) return;
    this.#finish("left");
    this.#log("info", { reason: "left" }, "Caller left");
  }

  #finish(reason?: refusals.RefusalReason): void {
    this.#release();
    this.#shareCharge?.end({
      reason,
      lastCall: this.#calls.at(-1)?.outcome,
      ms: this.#age,
      firstEventMs: this.#firstEventMs,
    });
  }

  /** Ends what runs for the request. */
  #release(): void {
    this.#phase = "finished";
    this.#cancelTimer();
    this.#attempt?.cancel();
    this.#pipelineRun?.close();
    this.#resolveFinished();
  }

  /** Whole milliseconds since the request arrived. */
  get #age(): number {
    return Math.round(this.#context.clock.now() - this.#arrivedAt);
  }

  #log(
    level: keyof telemetry.Logger,
    details: RefusalDetails & {
      readonly reason?: refusals.RefusalReason | "unread";
    },
    message: string,
  ): void {
    const { logger, metrics, fleetView } = this.#context;
    const ms = this.#age;
    const elapsed = this.#priorWait + (this.#firstEventMs ?? ms);
    const route = this.#route?.name;
    metrics.time("gateway.duration", ms, { route: route ?? "none" });
    metrics.count("gateway.ended", 1, {
      route: route ?? "none",
      ending: details.reason ??
        timeliness.timelinessOf(this.#route ?? {}, elapsed),
    });
    logger[level]({
      request: this.#incoming?.id,
      route,
      account: this.#account?.name,
      resumeAfter: this.#incoming?.resumeAfter,
      firstAttempt: this.#incoming?.firstAttempt,
      origin: this.#binding?.record,
      ms,
      objectiveMs: this.#route?.objective,
      rank: this.#route && this.#rank,
      routePriority: this.#route?.priority,
      accountPriority: this.#account?.priority,
      firstMs: this.#firstEventMs,
      ...(this.#priorWait > 0 && { waitedMs: Math.round(this.#priorWait) }),
      stages: this.#pipelineRun?.record,
      calls: this.#calls,
      fingerprint: this.#endpointAdmission?.fingerprint,
      parts: this.#endpointAdmission?.partFingerprints,
      version: fleetView.catalogue()?.version,
      ageMs: Math.round(fleetView.configurationAge()),
      ...details,
    }, message);
  }
}

/** Details of a refusal for its log line. */
interface RefusalDetails extends Readonly<Record<string, unknown>> {
  /** Seconds until a retry, in place of the default of the reason. */
  readonly retryAfter?: number;
}

/** A request and its response object. */
export interface HttpExchange {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
  readonly unreadReplies: Pick<
    unreadReplies.UnreadReplies,
    "update" | "remove"
  >;
  /** Connection of the request. */
  readonly connection: Pick<
    callerConnections.CallerConnection,
    "announcesClose"
  >;
}

const EMPTY_BODY = Buffer.alloc(0);
