/** One call to an endpoint for a request: sends it, verifies what comes back,
 * and says what is known when it fails.
 *
 * Nothing of an answer leaves before it is known to be the answer: the attempt
 * echoed, the signature there, a plain body whole. Of a stream whole events
 * leave as they come.
 * @module */

import type * as undici from "undici";
import * as endpointCalls from "../endpoint_calls/exchange.ts";
import type * as runtime from "../runtime/mod.ts";
import * as eventText from "./event_buffer.ts";
import type * as endpoint from "./endpoint.ts";
import type * as protocol from "./protocol.ts";

/** Bytes of the largest answer that is kept before it leaves. */
const MOST_BYTES = 64 * 1024 * 1024;

/** Why there is no answer. */
export type FailureCause =
  | "unreachable"
  | "full"
  | "misdirected"
  | "lacks-input"
  | "connection"
  | "broken"
  | "mismatch"
  | "silent"
  | "deadline"
  | "cancelled";

/** How a call ended. */
export type Outcome =
  /** A plain answer, or an endpoint's own refusal of a stream. */
  | { type: "answer"; head: protocol.ReplyHead; body: Buffer }
  /** A stream that came to its end. */
  | { type: "ended" }
  | {
    type: "failed";
    cause: FailureCause;
    /** False only where it is certain. */
    mayHaveRun: boolean;
  };

/** What comes of a stream while it runs. */
export interface StreamListener {
  head(head: protocol.ReplyHead): void;
  events(whole: eventText.CompleteEvents): void;
}

/** What a call is made of. */
export interface AttemptOptions {
  readonly dispatcher: undici.Dispatcher;
  readonly clock: runtime.Clock;
  readonly protocol: protocol.GatewayProtocol;
  readonly endpoint: endpoint.Endpoint;
  readonly request: protocol.IncomingRequest;
  readonly metadata: protocol.CallMetadata;
  readonly body?: Buffer;
  /** When it ends at the latest. */
  readonly deadline: number;
  /** Milliseconds without a byte after which it is given up. */
  readonly idleTimeout: number;
  /** Present for a stream. */
  readonly stream?: StreamListener;
  /** Hears the head of each answer of the endpoint itself, also of one that
   * refuses. */
  onHead?(head: protocol.ReplyHead): void;
}

/** A call under way. */
export class Attempt implements endpointCalls.Receiver {
  /** Resolves once; never rejects. */
  readonly outcome: Promise<Outcome>;
  readonly #options: AttemptOptions;
  readonly #text = eventText.EventBuffer.create();
  readonly #parts: Buffer[] = [];
  #resolve!: (outcome: Outcome) => void;
  #exchange?: endpointCalls.Exchange;
  #head?: protocol.ReplyHead;
  #isStream = false;
  #isOver = false;

  private constructor(options: AttemptOptions) {
    this.#options = options;
    this.outcome = new Promise((resolve) => this.#resolve = resolve);
  }

  /** Sends the request. */
  static start(options: AttemptOptions): Attempt {
    const attempt = new Attempt(options);
    const {
      request: ask,
      metadata: terms,
      body,
      protocol,
      endpoint,
      dispatcher,
      clock,
    } = options;
    attempt.#exchange = endpointCalls.Exchange.start({
      method: ask.method,
      path: ask.target,
      headers: protocol.callHeaders(ask, terms),
      body,
    }, {
      dispatcher,
      clock,
      url: `http://${endpoint.identity.address}`,
      deadline: options.deadline,
      silence: options.idleTimeout,
      mostBytes: MOST_BYTES,
      receiver: attempt,
    });
    return attempt;
  }

  /** Gives it up; its endpoint is told by the end of the connection. */
  cancel(cause: FailureCause = "cancelled"): void {
    if (this.#isOver) return;
    this.#exchange?.cancel();
    this.#fail(cause, true);
  }

  /** Gives it up after so many milliseconds without a byte, from now on. */
  setIdleTimeout(silence: number): void {
    this.#exchange?.expectWithin(silence);
  }

  head(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): void {
    if (this.#isOver) return;
    const { protocol, request: ask, stream } = this.#options;
    const head = protocol.decodeReply(status, headers);
    if (!isAnswerTo(head, ask)) return this.#reject();
    if (!head.isMisdirected) this.#options.onHead?.(head);
    this.#head = head;
    this.#isStream = stream !== undefined && isSuccess(head);
    if (this.#isStream) stream!.head(head);
  }

  data(part: Buffer): void {
    if (this.#isOver) return;
    if (!this.#isStream) {
      this.#parts.push(part);
      return;
    }
    const whole = this.#text.push(part);
    if (whole.bytes.length > 0) this.#options.stream!.events(whole);
  }

  end(): void {
    if (this.#isOver) return;
    if (this.#isStream) return this.#endStream();
    const head = this.#head!;
    const cause = refusalOf(head);
    if (cause !== undefined) return this.#fail(cause, false);
    this.#finish({ type: "answer", head, body: Buffer.concat(this.#parts) });
  }

  fail({ reason, outcome }: endpointCalls.Break): void {
    if (this.#isOver) return;
    // A refusal counts by its head; its body says nothing more.
    const refusal = this.#head && refusalOf(this.#head);
    if (refusal !== undefined) return this.#fail(refusal, false);
    const mayHaveRun = outcome !== "not-run";
    this.#fail(mayHaveRun ? causeOf(reason) : "unreachable", mayHaveRun);
  }

  #endStream(): void {
    if (this.#text.hasPartialEvent) return this.#fail("broken", true);
    this.#finish({ type: "ended" });
  }

  #reject(): void {
    this.#exchange?.cancel();
    this.#fail("mismatch", true);
  }

  #fail(cause: FailureCause, mayHaveRun: boolean): void {
    this.#finish({ type: "failed", cause, mayHaveRun });
  }

  #finish(outcome: Outcome): void {
    this.#isOver = true;
    this.#resolve(outcome);
  }
}

/** Whether the endpoint may have crashed under the call. A cut or a reset of
 * the connection looks the same. */
export function mayHaveCrashed(outcome: Outcome): boolean {
  return outcome.type === "failed" && outcome.mayHaveRun &&
    CRASHES.has(outcome.cause);
}

const CRASHES: ReadonlySet<FailureCause> = new Set([
  "connection",
  "broken",
  "silent",
]);

/** Whether an answer belongs to the request, and a success is an endpoint's. */
function isAnswerTo(
  head: protocol.ReplyHead,
  { id }: protocol.IncomingRequest,
): boolean {
  if (head.attempt !== undefined && head.attempt !== id) return false;
  if (head.isNotRun || head.isMisdirected) return true;
  return head.attempt === id && head.signature !== undefined;
}

function isSuccess({ status }: protocol.ReplyHead): boolean {
  return status >= 200 && status < 300;
}

function refusalOf(head: protocol.ReplyHead): FailureCause | undefined {
  if (head.isMisdirected) return "misdirected";
  if (!head.isNotRun) return undefined;
  return head.lacksInput ? "lacks-input" : "full";
}

type BreakReason = endpointCalls.Break["reason"];

function causeOf(reason: BreakReason): FailureCause {
  const causes: Partial<Record<BreakReason, FailureCause>> = {
    silent: "silent",
    deadline: "deadline",
    "broken-stream": "broken",
  };
  return causes[reason] ?? "connection";
}
