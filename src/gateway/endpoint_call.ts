/** One call of a request to an endpoint, and what it shows of the endpoint: its
 * load, health and announcements.
 * @module */

import * as exchanges from "../endpoint_calls/exchange.ts";
import * as announcementRecords from "./announcement_records.ts";
import * as attempts from "./attempt.ts";
import * as callLoads from "./call_load.ts";
import * as callRecords from "./call_record.ts";
import type * as contexts from "./context.ts";
import type * as endpoints from "./endpoint.ts";
import * as healthSignals from "./health_signal.ts";
import type * as protocols from "./protocol.ts";
import type * as targetChoices from "./target_choice.ts";

/** Time in which endpoints that are reached send something: then a broken call is
 * not the fault of the path. */
const RECEIVE_WINDOW_MS = 1000;

/** What a call sends, where, and its limits. */
export interface EndpointCallOptions extends
  Pick<
    attempts.AttemptOptions,
    | "request"
    | "metadata"
    | "body"
    | "hasOwnConnection"
    | "deadline"
    | "idleTimeout"
    | "stream"
  > {
  readonly target: targetChoices.Target;
  /** Called when the call has been silent for its idle timeout, and after each
   * further one. */
  onSilence(): void;
  /** Called with an error of this host in a callback of the connection, where it
   * would be taken for the endpoint's. */
  onError(error: unknown): void;
}

/** A call to an endpoint. */
export class EndpointCall {
  readonly record: callRecords.CallRecord;
  readonly startedAt: number;
  /** Resolves once the call has ended and is recorded. */
  readonly outcome: Promise<attempts.Outcome>;
  readonly #context: contexts.Context;
  readonly #options: EndpointCallOptions;
  readonly #attempt: attempts.Attempt;
  readonly #load: callLoads.CallLoad;
  /** Expected wait at the endpoint when the call was sent. */
  readonly #wait?: number;

  private constructor(
    context: contexts.Context,
    options: EndpointCallOptions,
  ) {
    const { target } = options;
    const { endpoint, placed } = target;
    this.#context = context;
    this.#options = options;
    this.startedAt = context.clock.now();
    this.#wait = endpoint.reportedWait(this.startedAt);
    this.record = callRecords.create(target);
    endpoint.rejections.recordCall(this.startedAt);
    this.#load = callLoads.CallLoad.start(endpoint, {
      ...context,
      prompt: options.request.prompt,
      prefillTokens: placed?.cacheMiss.prefillTokens ?? 0,
      isFetching: (placed?.cacheMiss.fetchTokens ?? 0) > 0,
      ...(placed?.source === "owner" && { pendingWork: placed.pendingWork }),
    });
    context.slots.begin(endpoint.identity.id);
    this.#attempt = attempts.Attempt.start({
      ...context,
      ...options,
      endpoint,
      onHead: (head) => this.#guard(() => this.#recordHead(head)),
      onSilence: ({ isNew }) =>
        this.#guard(() => this.#recordSilence({ isNew })),
      onResume: () => this.#guard(() => this.#recordResumption()),
    });
    this.outcome = this.#attempt.outcome.then((outcome) => {
      this.#recordEnd(outcome);
      return outcome;
    });
  }

  /** Sends the call. */
  static start(
    context: contexts.Context,
    options: EndpointCallOptions,
  ): EndpointCall {
    return new EndpointCall(context, options);
  }

  get endpoint(): endpoints.Endpoint {
    return this.#options.target.endpoint;
  }

  /** Whether its endpoint has sent nothing for the idle timeout. */
  get isSilent(): boolean {
    return this.#attempt.isSilent;
  }

  /** Time at which its endpoint last sent something, or at which it began. */
  get heardAt(): number {
    return this.#attempt.heardAt;
  }

  /** Cancels the call; the endpoint sees its connection close. */
  cancel(): void {
    if (this.#attempt.isFinished) return;
    // The line of the request may be written before the outcome is handled.
    this.record.outcome = this.isSilent ? "silent" : "cancelled";
    this.record.ms = Math.round(this.#context.clock.now() - this.startedAt);
    this.#attempt.cancel();
  }

  /** Changes the idle timeout in milliseconds, counted from now. */
  setIdleTimeout(idleTimeout: number): void {
    this.#attempt.setIdleTimeout(idleTimeout);
  }

  /** Records events of a stream; returns whether they are its first. */
  recordEvents(): boolean {
    if (this.#load.firstEventTime !== undefined) {
      this.#load.recordEvent();
      return false;
    }
    this.#load.recordFirstEvent();
    this.record.first = Math.round(this.#load.firstEventTime!);
    return true;
  }

  #guard(step: () => void): void {
    try {
      step();
    } catch (error) {
      this.#options.onError(error);
    }
  }

  /** Whether endpoints have recently sent something on the kind of path that
   * leads to this one. */
  get #isReceiving(): boolean {
    const { clock, paths } = this.#context;
    const { address } = this.endpoint.identity;
    return paths.hasReceivedFromOthers(
      address,
      clock.now() - RECEIVE_WINDOW_MS,
    );
  }

  /** Records what the head of an answer shows of its endpoint. */
  #recordHead(head: protocols.ReplyHead): void {
    const { quotas, clock } = this.#context;
    const { endpoint, record, startedAt } = this;
    record.framing = this.#attempt.framing;
    if (!head.isNotRun) endpoint.rejections.recordAcceptance(startedAt);
    const { rateLimit, leaving, retryAfter } = head;
    quotas.recordLimit(endpoint.identity.id, rateLimit);
    const request = this.#options.request.id;
    announcementRecords.record(endpoint, head, { ...this.#context, request });
    endpoint.recordAnnouncedSlowness(head.load, clock.now());
    if (leaving !== undefined) record.leaving = leaving;
    if (retryAfter !== undefined) record.retryAfterMs = retryAfter;
  }

  #recordSilence({ isNew }: { isNew: boolean }): void {
    if (isNew) this.#recordNewSilence();
    this.#options.onSilence();
  }

  #recordNewSilence(): void {
    const { clock, logger } = this.#context;
    const isReceiving = this.#isReceiving;
    this.endpoint.silentCalls++;
    healthSignals.recordSilence(this.endpoint, {
      ...this.#context,
      now: clock.now(),
      isReceiving,
    });
    this.record.silences = (this.record.silences ?? 0) + 1;
    if (this.record.silences > 1) return;
    logger.info({
      request: this.#options.request.id,
      endpoint: this.endpoint.identity.id,
      ms: Math.round(clock.now() - this.startedAt),
      silentMs: Math.round(clock.now() - this.heardAt),
      hasBegun: this.#load.firstEventTime !== undefined,
      isReceiving,
    }, "Call is silent; it stays open");
  }

  #recordResumption(): void {
    const { clock, logger } = this.#context;
    const isFirst = this.record.resumed === undefined;
    this.endpoint.silentCalls--;
    healthSignals.recordResumption(this.endpoint, {
      ...this.#context,
      now: clock.now(),
      isFirst,
    });
    this.record.resumed = (this.record.resumed ?? 0) + 1;
    if (!isFirst) return;
    logger.info({
      request: this.#options.request.id,
      endpoint: this.endpoint.identity.id,
      ms: Math.round(clock.now() - this.startedAt),
    }, "Silent call goes on");
  }

  /** Reports a signal to the hosts that place prompts at the endpoint: the owner
   * of its partition sees no calls of this host. */
  #reportSignal(signal: endpoints.HealthSignal | undefined): void {
    if (this.#options.target.placed?.source !== "owner") return;
    this.#context.loadUpdates.record(this.endpoint, { signal });
  }

  #countUndelimited(): void {
    const { framing, connectionEnd: end = "none" } = this.record;
    if (framing === undefined || exchanges.isDelimited(framing)) return;
    const { service } = this.endpoint.identity;
    this.#context.metrics.count("gateway.undelimited", 1, { service, end });
  }

  #recordEnd(outcome: attempts.Outcome): void {
    const { clock, paths, slots } = this.#context;
    const { endpoint, record, startedAt } = this;
    const { id, address } = endpoint.identity;
    const now = clock.now();
    slots.end(id);
    if (this.isSilent) endpoint.silentCalls--;
    this.#load.end({ isSuccess: attempts.isSuccess(outcome) });
    record.ms = Math.round(now - startedAt);
    record.relay = paths.relayOf(address);
    record.connectionEnd = this.#attempt.connectionEnd;
    this.#countUndelimited();
    record.outcome = healthSignals.outcomeName(outcome);
    const isReceiving = this.#isReceiving;
    healthSignals.record(endpoint, outcome, {
      ...this.#context,
      now,
      duration: now - startedAt,
      wait: this.#wait,
      isReceiving,
    });
    this.#reportSignal(healthSignals.reportedSignalOf(outcome, isReceiving));
  }
}
