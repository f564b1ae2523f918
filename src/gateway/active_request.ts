/** Serves one caller's request: decodes and admits it, runs the stages of its
 * route, calls endpoints with retries, and relays the answer.
 * @module */

import type * as http from "node:http";
import type * as net from "node:net";
import * as configurations from "../configuration/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as admissions from "./admission.ts";
import * as attempts from "./attempt.ts";
import type * as callerConnections from "./caller_connection.ts";
import * as callLimits from "./call_limits.ts";
import type * as contexts from "./context.ts";
import * as endpointCalls from "./endpoint_call.ts";
import * as endpointAdmissions from "./endpoint_admission.ts";
import type * as eventBuffers from "./event_buffer.ts";
import * as eventOrders from "./event_order.ts";
import type * as protocols from "./protocol.ts";
import type * as callRecords from "./call_record.ts";
import * as refusals from "./refusal.ts";
import * as openCalls from "./open_calls.ts";
import * as replies from "./reply.ts";
import type * as requestBodies from "../fleet/request_bodies.ts";
import * as retries from "./retry.ts";
import * as retryAllowances from "./retry_allowance.ts";
import * as shareCharges from "./share_charge.ts";
import * as pipelineRuns from "./pipeline_run.ts";
import * as streamBindings from "./stream_binding.ts";
import type * as unreadReplies from "./unread_replies.ts";
import * as targetChoices from "./target_choice.ts";
import * as timeliness from "./timeliness.ts";

/** Times that the stages of a request are run again after results are lost. */
const MAX_STAGE_RERUNS = 1;

/** An answer that can't be relayed. */
const UNUSABLE_ANSWER: openCalls.Stall = {
  type: "failed",
  cause: "broken",
  mayHaveRun: true,
};

/** Phase of a request: "pieces" while its stages run, "sent" while a call runs
 * whose answer is not relayed yet. */
type Phase = "reading" | "pieces" | "sent" | "streaming" | "finished";

/** A caller's request, from its arrival until it is answered or abandoned. */
export class ActiveRequest {
  readonly #context: contexts.Context;
  readonly #message: http.IncomingMessage;
  readonly #reply: replies.Reply;
  readonly #requestBodies: HttpExchange["requestBodies"];
  /** Present from the admission of the request on. */
  #requestBody?: requestBodies.RequestBody;
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
  #cancelDrainTimer = () => {};
  readonly #openCalls = openCalls.OpenCalls.create();
  /** Calls that have ended and may have run. */
  #runs = 0;
  /** Present from the first call on. */
  #retryAllowance?: retryAllowances.RetryAllowance;
  #cancelRelease = () => {};
  /** Milliseconds from arrival to the first event sent to the caller. */
  #firstEventMs?: number;
  /** Head of the newest stream of an endpoint. */
  #receivedHead?: protocols.ReplyHead;
  /** Events that the caller has. */
  #eventOrder = eventOrders.EventOrder.create();
  #errorAnswer?: Answer;
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
    { request, response, unreadReplies, requestBodies, connection }:
      HttpExchange,
  ) {
    this.#context = context;
    this.#requestBodies = requestBodies;
    this.#message = request;
    const { isDraining } = context;
    this.#reply = replies.Reply.create({
      request,
      response,
      unreadReplies,
      closesConnection: ({ isNeeded }) =>
        connection.announcesClose(request, isNeeded || isDraining()),
      isLast: () => connection.isLast(request),
      onEarlyRefusal: () => connection.linger(),
      onCloseDelimited: () => connection.recordCloseDelimited(request),
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

  /** Has the request refused as soon as no call for it could end before the host
   * stops, wherever it waits. */
  handleDrain(): void {
    const { clock } = this.#context;
    const lastCallAt = this.#lastCallAt;
    if (this.isFinished || lastCallAt === Infinity) return;
    this.#cancelDrainTimer = clock.after(
      Math.max(0, lastCallAt - clock.now()),
      () => this.#guard(() => this.#refuseUnlessCalled()),
    );
  }

  /** Last time at which a call can be made that ends before the host stops;
   * infinite while it does not drain. */
  get #lastCallAt(): number {
    const { stopsAt, callDurations } = this.#context;
    const route = this.#route;
    return route === undefined
      ? Infinity
      : stopsAt() - callDurations.expected(route);
  }

  get #isTooLateToCall(): boolean {
    return this.#context.clock.now() >= this.#lastCallAt;
  }

  #refuseUnlessCalled(): void {
    if (!this.isFinished && this.#openCalls.size === 0) {
      this.#endUnanswered("stopping");
    }
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
    if (!this.isFinished) this.#release();
    if (!this.#reply.isEnded) this.#reply.abort();
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
    return this.#runs > 0 || this.#openCalls.size > 0;
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
    this.#eventOrder = eventOrders.EventOrder.create({
      resumedAfter: incoming.resumeAfter,
    });
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
    this.handleDrain();
    const { limits } = fleetView.catalogue()!.configuration;
    this.#requestBody = this.#requestBodies.read(this.#message, {
      maxBytes: limits.bodyBytes,
      account: this.#account?.name,
    });
    const body = await this.#requestBody.result;
    if (typeof body === "string") {
      const { evictedBytes } = this.#requestBody;
      return this.#refuseStep(body, { heldBytes: evictedBytes });
    }
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

  /** Runs the stages of the request's route; resolves with their results, and
   * refuses the request without them unless a call is in flight. */
  async #runStages(service: string): Promise<readonly string[] | undefined> {
    const route = this.#route!;
    if (route.stages.length === 0) return undefined;
    if (this.#openCalls.size === 0) this.#phase = "pieces";
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
    if (this.#openCalls.size > 0) return undefined;
    return this.#refuseStep(result.reason, result.about);
  }

  /** Calls endpoints until one answers or no further call is allowed. A silent
   * call stays open beside the next one. */
  async #callEndpoints(
    { service, inputs: first }: {
      service: string;
      inputs: readonly string[] | undefined;
    },
  ): Promise<void> {
    const targets = this.#createTargetChoice(service);
    const hasStages = this.#route!.stages.length > 0;
    let inputs = first;
    let reruns = 0;
    this.#retryAllowance = retryAllowances.RetryAllowance.start(this.#context, {
      service,
      route: this.#route!,
      account: this.#account?.name ?? "",
      calls: this.#calls,
    });
    await this.#callNext(targets, inputs);
    while (!this.isFinished) {
      const stall = await this.#openCalls.nextStall();
      if (this.isFinished) return;
      if (hasStages && this.#needsStages(stall)) inputs = undefined;
      const isStageLost = hasStages && inputs === undefined;
      const isExhausted = isStageLost && reruns >= MAX_STAGE_RERUNS;
      const mayCall = !this.#isTooLateToCall && !isExhausted &&
        this.#isResumable && this.#mayCallAgain(stall);
      if (!mayCall) {
        this.#endUnlessOpen(stall);
        continue;
      }
      if (isStageLost) {
        reruns++;
        inputs = await this.#runStages(service);
        // The stages have failed; a silent call may still go on.
        if (inputs === undefined) continue;
      }
      await this.#callNext(targets, inputs);
    }
  }

  /** Calls the best endpoint, unless a silent call goes on meanwhile. */
  async #callNext(
    targets: targetChoices.TargetChoice,
    inputs: readonly string[] | undefined,
  ): Promise<void> {
    if (this.#isTooLateToCall) return this.#refuseUnlessCalled();
    const version = this.#binding?.version;
    const chosen = await targets.choose({
      called: this.#calls.map(({ endpoint }) => endpoint),
      planned: this.#pipelineRun?.planned,
      version,
      isFinished: () =>
        this.isFinished || !this.#openCalls.isStalled ||
        this.#isTooLateToCall ||
        // A call that has gone on and failed since binds the stream.
        version !== this.#binding?.version,
    });
    if (this.isFinished) return;
    if (chosen.type === "target") {
      // A call that has gone on since may have sent an event without an id.
      if (!this.#isResumable) return;
      return this.#call(chosen.target, inputs);
    }
    if (chosen.type === "unneeded") {
      if (this.#isTooLateToCall) return this.#refuseUnlessCalled();
      // Results of stages that were run again are not needed any more.
      if (this.#reply.head !== undefined) this.#pipelineRun?.release();
      return;
    }
    if (this.#openCalls.size > 0) return;
    this.#endUnanswered(chosen.reason, chosen.about);
  }

  /** Whether an endpoint can be asked for what the caller does not have yet. */
  get #isResumable(): boolean {
    return this.#reply.head === undefined || this.#eventOrder.isResumable;
  }

  /** Whether a further call is allowed when none in flight sends anything. */
  #mayCallAgain(stall: openCalls.Stall): boolean {
    const allowance = this.#retryAllowance!;
    return stall.type === "answer"
      ? allowance.withdraw()
      : allowance.mayRetry(stall, this.#history);
  }

  /** Whether a further call needs the results of the stages once more. */
  #needsStages(stall: openCalls.Stall): boolean {
    const isInputLost = stall.type === "failed" &&
      stall.cause === "lacks-input";
    return isInputLost || (this.#pipelineRun?.isReleased ?? false);
  }

  /** Ends the request without a further call. A silent call may still go on; an
   * endpoint's error answer is not kept back for it. */
  #endUnlessOpen(stall: openCalls.Stall): void {
    // Either of them may come first.
    if (stall.type === "failed" && stall.cause === "deadline") {
      return this.#timeOut();
    }
    if (this.#openCalls.size > 0 && stall.type === "failed") return;
    this.#endUnanswered(this.#isTooLateToCall ? "stopping" : "not-run");
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

  #call(
    target: targetChoices.Target,
    inputs: readonly string[] | undefined,
  ): void {
    const { metrics } = this.#context;
    const { placed } = target;
    const { name, service } = target.endpoint.identity;
    this.#retryAllowance!.recordCall();
    if (this.#reply.head === undefined) this.#phase = "sent";
    if (placed !== undefined) {
      this.#shareCharge?.correct(placed.cacheMiss.prefillTokens);
    }
    metrics.count("gateway.sent", 1, { service });
    if (this.#calls.length > 0) {
      metrics.count("gateway.repeated", 1, { service });
    }
    const call: endpointCalls.EndpointCall = endpointCalls.EndpointCall.start(
      this.#context,
      {
        target,
        request: this.#incoming!,
        metadata: {
          ...this.#createMetadata(name, inputs),
          fetchFrom: placed?.cacheMiss.source?.identity.address,
        },
        body: this.#body.length > 0 ? this.#body : undefined,
        hasOwnConnection: this.#hasOwnConnection(target),
        deadline: this.#deadline,
        idleTimeout: callLimits.idleTimeoutOf(
          this.#route!,
          this.#reply.head !== undefined,
        ),
        stream: this.#route!.kind === "streaming"
          ? this.#createStreamListener(() => call)
          : undefined,
        onSilence: () => this.#openCalls.recordSilence(),
        onError: (error) => this.#fail(error),
      },
    );
    this.#calls.push(call.record);
    this.#openCalls.add(call);
    void this.#follow(call, inputs).catch((error) => this.#fail(error));
  }

  /** Whether a call has a connection of its own: an endpoint that refused the
   * request may send the refusal once more, which has the id of this call too. Only
   * a request that may run once must not be taken for not run. */
  #hasOwnConnection({ endpoint }: targetChoices.Target): boolean {
    if (configurations.isIdempotent(this.#route!)) return false;
    const { id } = endpoint.identity;
    return this.#calls.some((call) => call.endpoint === id);
  }

  /** Waits for the end of a call and handles its outcome. */
  async #follow(
    call: endpointCalls.EndpointCall,
    inputs: readonly string[] | undefined,
  ): Promise<void> {
    const { clock, inputRetention } = this.#context;
    const { endpoint, startedAt } = call;
    const { service } = endpoint.identity;
    const retentionTime = inputRetention.time(service);
    // A later call may still fetch the inputs.
    this.#cancelRelease();
    const cancelRelease = inputs === undefined
      ? () => {}
      : clock.after(retentionTime, () => this.#pipelineRun?.release());
    this.#cancelRelease = cancelRelease;
    const outcome = await call.outcome;
    this.#openCalls.remove(call);
    if (isWhole(outcome)) {
      const { callDurations } = this.#context;
      callDurations.record(this.#route!, clock.now() - startedAt);
    }
    if (outcome.type !== "failed" || outcome.mayHaveRun) this.#runs++;
    cancelRelease();
    if (this.#missedReleasedInput(outcome)) {
      inputRetention.recordMissing(service, retentionTime);
    }
    const { heardAt } = call;
    this.#endpointAdmission!.recordOutcome(outcome, {
      endpoint,
      startedAt,
      heardAt,
    });
    if (this.isFinished) return;
    if (outcome.type === "answer") return this.#handleAnswer(outcome);
    if (outcome.type === "failed") return this.#openCalls.recordStall(outcome);
    // A stream that ends without any event is no answer, unless it is the rest
    // behind the last event of a caller that has all.
    if (this.#reply.head === undefined) {
      const { resumeAfter } = this.#incoming!;
      if (resumeAfter === undefined || this.#receivedHead === undefined) {
        return this.#openCalls.recordStall(UNUSABLE_ANSWER);
      }
      this.#startStream(call, this.#receivedHead);
    }
    this.#endStream(outcome);
  }

  #handleAnswer(outcome: Answer): void {
    // The caller already has the head of a stream: another endpoint's plain
    // answer can't continue it.
    if (this.#reply.head !== undefined) {
      return this.#openCalls.recordStall(UNUSABLE_ANSWER);
    }
    const isRetried = retries.shouldRetryAnswer(
      this.#route!,
      outcome.head,
      this.#history,
    );
    if (!isRetried) return this.#answer(outcome);
    // Kept in case no other call gives an answer.
    this.#errorAnswer = outcome;
    this.#openCalls.recordStall(outcome);
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
      resumeAfter: this.#eventOrder.lastId,
    };
  }

  #recordFirstEvent(call: endpointCalls.EndpointCall): void {
    const { clock, metrics, inputRetention } = this.#context;
    if (this.#pipelineRun?.isReleased) {
      inputRetention.recordSuccess(call.endpoint.identity.service);
    }
    metrics.time("gateway.first_event", clock.now() - this.#arrivedAt, {
      route: this.#route!.name,
    });
  }

  #createStreamListener(
    callOf: () => endpointCalls.EndpointCall,
  ): attempts.StreamListener {
    let head: protocols.ReplyHead;
    return {
      order: this.#eventOrder,
      head: (received) => {
        head = received;
        this.#receivedHead = received;
        // It may run now, and no other endpoint may work on the request then.
        this.#openCalls.cancelOthers(callOf());
      },
      events: (complete) =>
        this.#guard(() => {
          const call = callOf();
          if (call.recordEvents()) this.#recordFirstEvent(call);
          this.#binding!.bind(call.endpoint);
          // Events of two calls must not be mixed.
          this.#openCalls.cancelOthers(call);
          this.#eventOrder = complete.order;
          this.#relay(call, { head, complete });
        }),
    };
  }

  /** Relays complete events to the caller, and the head before the first. */
  #relay(
    call: endpointCalls.EndpointCall,
    { head, complete }: {
      head: protocols.ReplyHead;
      complete: eventBuffers.CompleteEvents;
    },
  ): void {
    if (this.isFinished) return;
    if (this.#reply.head === undefined) this.#startStream(call, head);
    // The caller has no event of a held stream yet.
    if (this.#reply.isHeadSent) this.#firstEventMs ??= this.#age;
    this.#reply.write(complete.bytes);
    const { heldBytes } = this.#reply;
    if (heldBytes > attempts.MAX_ANSWER_BYTES) {
      this.#refuse("failed", { heldBytes });
    }
  }

  #startStream(
    call: endpointCalls.EndpointCall,
    head: protocols.ReplyHead,
  ): void {
    this.#reply.startStream(head);
    this.#phase = "streaming";
    this.#pipelineRun?.release();
    if (configurations.isIdempotent(this.#route!)) {
      call.setIdleTimeout(callLimits.EVENT_IDLE_TIMEOUT_MS);
    }
  }

  #endStream(end: replies.AnswerEnd): void {
    const head = this.#reply.head!;
    if (!this.#reply.canEndWith(end)) return this.#refuseAnswer(head);
    this.#reply.endStream(end);
    this.#finish();
    this.#log("info", { status: head.status }, "Request answered");
  }

  #answer(answer: Answer): void {
    const { head, body } = answer;
    const mayRelay = retries.mayRelayAnswer(this.#route!, head) &&
      this.#reply.canEndWith(answer);
    if (!mayRelay) return this.#refuseAnswer(head);
    // Before the request counts as finished: if the answer can't be written, the
    // caller is refused.
    this.#reply.send(head, body, answer);
    this.#finish();
    this.#log("info", { status: head.status }, "Request answered");
  }

  /** Refuses the request as an endpoint's answer can't be forwarded. */
  #refuseAnswer({ status }: protocols.ReplyHead): void {
    this.#refuse("failed", { answered: status });
  }

  /** Calls so far; one in flight may have run. */
  get #history(): retries.RetryHistory {
    const runs = this.#runs + this.#openCalls.size;
    return { runs, calls: this.#calls.length };
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
  #abortStream(
    reason: refusals.RefusalReason,
    details: RefusalDetails = {},
  ): void {
    this.#finish(reason);
    this.#context.metrics.count("gateway.refused", 1, { reason });
    this.#reply.abort();
    const { isResumable, lastSentId: lastEvent } = this.#eventOrder;
    this.#log(
      "warn",
      { reason, lastEvent, isResumable, ...details },
      "Stream broken off",
    );
  }

  #refuse(reason: refusals.RefusalReason, details: RefusalDetails = {}): void {
    if (this.isFinished) return;
    // An earlier call may have run although no further one did, or the stages
    // failed when they were run again, so the refusal must not guarantee that
    // nothing ran.
    if (this.#runs > 0 && refusals.guaranteesNotRun(reason)) {
      const { retryAfter: _, ...rest } = details;
      return this.#refuse("failed", { ...rest, after: reason });
    }
    // A head is sent once.
    if (this.#reply.isHeadSent) {
      return this.#abortStream(reason, details);
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
   * it; a reply may be unread after its request has ended. One of which no part has
   * been sent is refused. */
  #recordAbort(unreadBytes: number): void {
    const message = "Reply aborted, as its caller has not read it";
    if (!this.#reply.isHeadSent) {
      return this.#refuse("failed", { unreadBytes });
    }
    if (!this.isFinished) {
      this.#finish();
      const { lastSentId: lastEvent } = this.#eventOrder;
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
      if (!this.#reply.isHeadSent) this.#refuseLeft();
      this.#finish("left");
      if (!this.#reply.isComplete) this.#reply.abort();
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
    if (this.isFinished || this.#reply.isComplete) return;
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
    this.#requestBody?.discard();
    this.#body = EMPTY_BODY;
    this.#cancelTimer();
    this.#cancelDrainTimer();
    this.#openCalls.cancelAll();
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

/** A plain answer of an endpoint. */
type Answer = Extract<attempts.Outcome, { type: "answer" }>;

/** Whether a call gave the whole answer to its request. */
function isWhole(outcome: attempts.Outcome): boolean {
  return outcome.type === "ended" ||
    outcome.type === "answer" && outcome.head.status < 400;
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
  readonly requestBodies: Pick<requestBodies.RequestBodies, "read">;
  /** Connection of the request. */
  readonly connection: Pick<
    callerConnections.CallerConnection,
    "announcesClose" | "isLast" | "linger" | "recordCloseDelimited"
  >;
}

const EMPTY_BODY = Buffer.alloc(0);
