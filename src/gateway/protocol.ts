/** What callers and endpoints say, as an adapter of their platform decodes and
 * encodes it. Times are in milliseconds.
 * @module */

import type * as http from "node:http";

/** A part of a prompt that requests may share; `id` names its content. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What is known of a prompt for a model. */
export interface Prompt {
  readonly model: string;
  readonly inputTokens: number;
  /** Most tokens that may be generated. */
  readonly outputTokens: number;
  /** In order; the last belongs to the request or its session alone. */
  readonly parts: readonly PromptPart[];
}

/** A request as a caller has sent it. */
export interface IncomingRequest {
  /** Id of this attempt of the caller; each retry has another. */
  readonly id: string;
  readonly method: string;
  /** Host that the caller names. */
  readonly host: string;
  /** Path and query, as sent. */
  readonly target: string;
  /** Headers that go on to an endpoint as they are. */
  readonly headers: Readonly<Record<string, string>>;
  /** How long the caller waits. */
  readonly timeout?: number;
  readonly apiKey?: string;
  readonly prompt?: Prompt;
  /** Number of pieces of each stage. */
  readonly itemCounts?: readonly number[];
  readonly itemKey?: string;
  /** The caller has the events of a stream up to this one. */
  readonly resumeAfter?: string;
}

/** A request that was read, or why it could not be. */
export type DecodedRequest =
  | { type: "ask"; request: IncomingRequest }
  | { type: "malformed"; detail: string };

/** What the system tells an endpoint beside the request itself. */
export interface CallMetadata {
  /** Id of the endpoint that is meant; another one does not run the call. */
  readonly endpoint: string;
  readonly account?: string;
  /** Address of an engine that has more of the prompt. */
  readonly fetchFrom?: string;
  /** How long the answer is of use. */
  readonly remaining?: number;
  /** From 0, the most urgent, to 9. */
  readonly urgency?: number;
  /** Results of the last stages; present where a route has stages. */
  readonly inputs?: readonly string[];
  readonly resumeAfter?: string;
}

/** How busy an endpoint says it is. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** Head of an endpoint's answer. */
export interface ReplyHead {
  readonly status: number;
  /** Id of the attempt that it answers. */
  readonly attempt?: string;
  /** Shows that an endpoint has made the answer. */
  readonly signature?: string;
  /** Whether the endpoint says that it has not run the call. */
  readonly isNotRun: boolean;
  /** Whether another endpoint than the one that was meant has answered. */
  readonly isMisdirected: boolean;
  /** Whether a result that the call needs is gone. */
  readonly lacksInput: boolean;
  /** Present where the endpoint tells its load. */
  readonly load?: ReportedLoad;
  /** Requests a second that the endpoint takes from all hosts together, for as
   * long as its answers say so. */
  readonly rateLimit?: number | "unreadable";
  /** Milliseconds for which the endpoint is cold, where it says so. */
  readonly coldFor?: number;
  /** Headers that go back to the caller as they are. */
  readonly headers: Readonly<Record<string, string>>;
}

/** One piece in a call. */
export interface ItemRequest {
  readonly request: string;
  readonly stage: number;
  readonly itemIndex: number;
  readonly remaining?: number;
  /** Content that the first stages work on. */
  readonly key?: string;
  /** Results that later stages work on. */
  readonly inputs?: readonly string[];
}

/** Why a piece was not made. */
export type ItemFailure = "late" | "gone" | "room" | "error";

/** What became of one piece. */
export type ItemResult =
  | { type: "made"; handle: string }
  | { type: "failed"; failure: ItemFailure };

/** A call as it goes to an endpoint. */
export interface OutgoingCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: string;
}

/** Decodes and encodes; decides nothing. */
export interface GatewayProtocol {
  decodeRequest(request: http.IncomingMessage): DecodedRequest;
  /** Whether a request on the readiness address asks for readiness. */
  isReadinessProbe(request: http.IncomingMessage): boolean;
  callHeaders(
    ask: IncomingRequest,
    terms: CallMetadata,
  ): Record<string, string>;
  decodeReply(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): ReplyHead;
  batchCall(endpoint: string, orders: readonly ItemRequest[]): OutgoingCall;
  /** Results in the order of the orders; undefined when they are unreadable. */
  decodeItemResults(body: Buffer): readonly ItemResult[] | undefined;
  releaseCall(handles: readonly string[]): OutgoingCall;
  /** Host and port of the endpoint that holds a result. */
  holderOf(handle: string): string;
}
