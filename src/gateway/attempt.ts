/** One attempt to have an endpoint answer a request: sends the call, verifies
 * the answer and classifies failures.
 *
 * An answer is verified before any of it is relayed: it must echo the attempt's
 * id and carry a signature, and a plain body must be complete. A stream is
 * relayed event by event, each once it is complete.
 * @module */

import type * as undici from "undici";
import * as chunkLists from "../runtime/chunk_list.ts";
import type * as connector from "../endpoint_calls/connector.ts";
import * as endpointCalls from "../endpoint_calls/exchange.ts";
import type * as partialAnswers from "../endpoint_calls/partial_answers.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as eventBuffers from "./event_buffer.ts";
import type * as endpoints from "./endpoint.ts";
import type * as protocols from "./protocol.ts";

/** Bytes of memory that the largest plain answer takes; it is buffered whole. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;
/** Bytes of memory that the largest event of a stream takes. Events carry some
 * tokens; an event without an end is to end soon, also at a host without a given
 * memory. */
const MAX_EVENT_BYTES = 4 * 1024 * 1024;

/** Why an attempt has no answer. */
export type FailureCause =
  | "unreachable"
  | "withheld"
  | "full"
  | "misdirected"
  | "lacks-input"
  | "connection"
  | "broken"
  | "oversized"
  /** The endpoint sent bytes that are no answer. */
  | "invalid"
  | "mismatch"
  | "silent"
  | "deadline"
  | "cancelled";

/** How an attempt ended. */
export type Outcome =
  /** A plain answer, or an endpoint's error answer to a streaming call. */
  | {
    type: "answer";
    head: protocols.ReplyHead;
    body: Buffer;
    framing: endpointCalls.Framing;
  }
  /** A complete stream. */
  | { type: "ended"; framing: endpointCalls.Framing }
  | {
    type: "failed";
    cause: FailureCause;
    /** False only if the endpoint certainly did not execute the call. */
    mayHaveRun: boolean;
  };

/** Receives a stream as it arrives. */
export interface StreamListener {
  head(head: protocols.ReplyHead): void;
  events(whole: eventBuffers.CompleteEvents): void;
}

/** What an attempt sends, where, and its limits. */
export interface AttemptOptions {
  readonly dispatcher: undici.Dispatcher;
  readonly clock: runtime.Clock;
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
  readonly partialAnswers: Pick<
    partialAnswers.PartialAnswers,
    "update" | "remove"
  >;
  readonly protocol: protocols.GatewayProtocol;
  readonly endpoint: endpoints.Endpoint;
  readonly request: protocols.IncomingRequest;
  readonly metadata: protocols.CallMetadata;
  readonly body?: Buffer;
  /** Whether the call has a connection of its own. */
  readonly hasOwnConnection?: boolean;
  /** Time at which the attempt ends at the latest. */
  readonly deadline: number;
  /** Milliseconds without a received byte after which it is silent. */
  readonly idleTimeout: number;
  /** Present for a stream. */
  readonly stream?: StreamListener;
  /** Called with the head of every answer of the intended endpoint, refusals
   * included. */
  onHead?(head: protocols.ReplyHead): void;
  /** Called when it has been silent for the idle timeout, and after each further
   * one (`isNew` is false then). It goes on until its deadline or until it is
   * cancelled. */
  onSilence?(silence: { isNew: boolean }): void;
  /** Called when it goes on after a silence: with events to relay, or with the
   * rest of a plain answer. */
  onResume?(): void;
}

/** An attempt in progress. */
export class Attempt implements endpointCalls.Receiver {
  /** Resolves when the attempt ends; never rejects. */
  readonly outcome: Promise<Outcome>;
  readonly #options: AttemptOptions;
  readonly #events: eventBuffers.EventBuffer;
  readonly #chunks = chunkLists.ChunkList.create();
  #resolve!: (outcome: Outcome) => void;
  #exchange?: endpointCalls.Exchange;
  #head?: protocols.ReplyHead;
  #framing?: endpointCalls.Framing;
  #connectionEnd?: connector.ConnectionEnd;
  #isStream = false;
  #hasEvents = false;
  #isSilent = false;
  #heardAt: number;
  #isFinished = false;

  private constructor(options: AttemptOptions) {
    this.#options = options;
    this.#heardAt = options.clock.now();
    this.#events = eventBuffers.EventBuffer.create({
      resumedAfter: options.metadata.resumeAfter,
    });
    this.outcome = new Promise((resolve) => this.#resolve = resolve);
  }

  /** Sends the call. */
  static start(options: AttemptOptions): Attempt {
    const attempt = new Attempt(options);
    const {
      request,
      metadata,
      body,
      protocol,
      endpoint,
      dispatcher,
      clock,
    } = options;
    attempt.#exchange = endpointCalls.Exchange.start({
      method: request.method,
      path: request.target,
      headers: protocol.callHeaders(request, metadata),
      body,
    }, {
      dispatcher,
      clock,
      url: `http://${endpoint.identity.address}`,
      deadline: options.deadline,
      idleTimeout: options.idleTimeout,
      // Bounded by the bytes that are held.
      maxBytes: Infinity,
      partialAnswers: options.partialAnswers,
      hasOwnConnection: options.hasOwnConnection,
      receiver: attempt,
      maySend: () => endpoint.isAccepting(clock.now()),
    });
    return attempt;
  }

  /** Whether it has an outcome. */
  get isFinished(): boolean {
    return this.#isFinished;
  }

  /** Whether its endpoint has sent nothing for the idle timeout, and nothing to
   * relay since: a byte now and then gets the caller nothing. */
  get isSilent(): boolean {
    return this.#isSilent;
  }

  /** What marks the end of the answer; undefined before its head. */
  get framing(): endpointCalls.Framing | undefined {
    return this.#framing;
  }

  /** How the connection ended, if it did before the answer or with it. */
  get connectionEnd(): connector.ConnectionEnd | undefined {
    return this.#connectionEnd;
  }

  /** Time at which its endpoint last sent something, or at which it began. */
  get heardAt(): number {
    return this.#heardAt;
  }

  /** Cancels the attempt; the endpoint sees its connection close. */
  cancel(): void {
    if (this.#isFinished) return;
    this.#exchange?.cancel();
    this.#fail(this.#isSilent ? "silent" : "cancelled", true);
  }

  /** Changes the idle timeout, counted from now. */
  setIdleTimeout(idleTimeout: number): void {
    this.#exchange?.setIdleTimeout(idleTimeout);
  }

  head(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
    { framing }: { readonly framing: endpointCalls.Framing },
  ): void {
    if (this.#isFinished) return;
    this.#framing = framing;
    this.#recordReceipt();
    const { protocol, request, stream } = this.#options;
    const head = protocol.decodeReply(status, headers);
    if (!belongsTo(head, request)) return this.#rejectMismatch();
    if (!head.isMisdirected) this.#options.onHead?.(head);
    this.#head = head;
    const refusal = refusalCause(head);
    if (refusal !== undefined && head.attempt === undefined) {
      return this.#endUnnamedRefusal(refusal);
    }
    this.#isStream = stream !== undefined && hasSuccessStatus(head);
    if (this.#isStream) stream!.head(head);
  }

  silence(): void {
    if (this.#isFinished) return;
    const isNew = !this.#isSilent;
    this.#isSilent = true;
    this.#options.onSilence?.({ isNew });
  }

  /** Bytes of memory that the incomplete answer, or the incomplete event of a
   * stream, takes. */
  get heldBytes(): number {
    return this.#isStream ? this.#events.heldBytes : this.#chunks.heldBytes;
  }

  data(chunk: Buffer): void {
    if (this.#isFinished) return;
    this.#recordReceipt();
    if (this.#isStream) this.#addToStream(chunk);
    else this.#chunks.push(chunk);
    const { heldBytes } = this;
    const scope = this.#isStream ? "event" : "answer";
    const bound = MAX_HELD_BYTES[scope];
    if (heldBytes <= bound) return;
    this.#exchange?.endOversized({ heldBytes, bound, scope });
  }

  #addToStream(chunk: Buffer): void {
    const complete = this.#events.push(chunk);
    if (complete.bytes.length === 0) return;
    // Events of another answer behind an open body, or of a stream that begins anew
    // in place of going on.
    if (!complete.isInOrder) return this.#exchange?.break("error");
    this.#hasEvents = true;
    this.#resume();
    this.#options.stream!.events(complete);
  }

  end({ framing, connectionEnd }: endpointCalls.Ending): void {
    if (this.#isFinished) return;
    this.#connectionEnd = connectionEnd;
    this.#resume();
    if (this.#isStream) return this.#endStream(framing);
    const head = this.#head!;
    const cause = refusalCause(head);
    if (cause !== undefined) return this.#fail(cause, false);
    const body = this.#chunks.take();
    this.#finish({ type: "answer", head, body, framing });
  }

  fail(
    { reason, outcome, excess, connectionEnd }: endpointCalls.ExchangeFailure,
  ): void {
    if (this.#isFinished) return;
    this.#connectionEnd = connectionEnd;
    if (excess !== undefined) this.#recordExcess(excess);
    // The head alone marks an answer as a refusal, so one whose body is cut off
    // still counts.
    const refusal = this.#head && refusalCause(this.#head);
    if (refusal !== undefined) return this.#fail(refusal, false);
    if (outcome === "not-run") return this.#failUnsent();
    this.#fail(failureCause(reason), true);
  }

  #recordReceipt(): void {
    const { endpoint, clock } = this.#options;
    this.#heardAt = clock.now();
    endpoint.heardAt = this.#heardAt;
  }

  #resume(): void {
    if (!this.#isSilent) return;
    this.#isSilent = false;
    this.#options.onResume?.();
  }

  #recordExcess(excess: partialAnswers.Excess): void {
    const { logger, metrics, request, endpoint } = this.#options;
    const { id, service } = endpoint.identity;
    const { scope } = excess;
    metrics.count("gateway.oversized", 1, { service, scope });
    logger.warn(
      { request: request.id, endpoint: id, service, ...excess },
      "Call ended, as its incomplete answer holds too many bytes",
    );
  }

  #failUnsent(): void {
    const { endpoint, clock } = this.#options;
    const isAccepting = endpoint.isAccepting(clock.now());
    this.#fail(isAccepting ? "unreachable" : "withheld", false);
  }

  /** Ends a stream. One without events whose end is that of its connection may be
   * one whose endpoint stopped behind the head. */
  #endStream(framing: endpointCalls.Framing): void {
    const isComplete = !this.#events.hasPartialEvent &&
      (endpointCalls.isDelimited(framing) || this.#hasEvents);
    if (!isComplete) return this.#fail("broken", true);
    this.#finish({ type: "ended", framing });
  }

  /** Closes the connection of a refusal without an attempt id: a late copy of it
   * could not be told from the refusal of the next call there. */
  #endUnnamedRefusal(cause: FailureCause): void {
    this.#exchange?.cancel();
    this.#fail(cause, false);
  }

  #rejectMismatch(): void {
    this.#exchange?.rejectAnswer();
    this.#fail("mismatch", true);
  }

  #fail(cause: FailureCause, mayHaveRun: boolean): void {
    this.#finish({ type: "failed", cause, mayHaveRun });
  }

  #finish(outcome: Outcome): void {
    this.#isFinished = true;
    // The request goes on and keeps this attempt.
    this.#chunks.clear();
    this.#events.clear();
    this.#resolve(outcome);
  }
}

/** Whether the endpoint may have crashed during the call. A connection that is
 * cut or reset by the network looks the same. Silence alone does not show it. */
export function mayHaveCrashed(outcome: Outcome): boolean {
  return outcome.type === "failed" && outcome.mayHaveRun &&
    CRASH_CAUSES.has(outcome.cause);
}

/** Whether an endpoint has written a whole answer that is a success. */
export function isSuccess(outcome: Outcome): boolean {
  return outcome.type === "ended" ||
    outcome.type === "answer" && hasSuccessStatus(outcome.head);
}

const MAX_HELD_BYTES = {
  answer: MAX_ANSWER_BYTES,
  event: MAX_EVENT_BYTES,
} as const;

const CRASH_CAUSES: ReadonlySet<FailureCause> = new Set([
  "connection",
  "broken",
]);

/** Whether an answer belongs to this request: refusals need not echo its id,
 * any other answer must echo it and carry an endpoint's signature. */
function belongsTo(
  head: protocols.ReplyHead,
  { id }: protocols.IncomingRequest,
): boolean {
  if (head.attempt !== undefined && head.attempt !== id) return false;
  if (head.isNotRun || head.isMisdirected) return true;
  return head.attempt === id && head.signature !== undefined;
}

function hasSuccessStatus({ status }: protocols.ReplyHead): boolean {
  return status >= 200 && status < 300;
}

function refusalCause(head: protocols.ReplyHead): FailureCause | undefined {
  if (head.isMisdirected) return "misdirected";
  if (!head.isNotRun) return undefined;
  return head.lacksInput ? "lacks-input" : "full";
}

type BreakReason = endpointCalls.ExchangeFailure["reason"];

function failureCause(reason: BreakReason): FailureCause {
  const causes: Partial<Record<BreakReason, FailureCause>> = {
    silent: "silent",
    deadline: "deadline",
    "broken-stream": "broken",
    oversized: "oversized",
    error: "invalid",
  };
  return causes[reason] ?? "connection";
}
