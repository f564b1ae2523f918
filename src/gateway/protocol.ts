/** Protocol between the gateway, callers and endpoints: the types that a
 * platform adapter decodes to and encodes from. Times are in milliseconds.
 * @module */

import type * as http from "node:http";

/** A part of a prompt that requests may share; `id` identifies its content. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** A model's prompt as far as placement needs it. */
export interface Prompt {
  readonly model: string;
  readonly inputTokens: number;
  /** Bound of the generated tokens. */
  readonly outputTokens: number;
  /** In order; only the request or its session has the last one. */
  readonly parts: readonly PromptPart[];
}

/** A request as received from a caller. */
export interface IncomingRequest {
  /** Id of this attempt; each retry by the caller has another. */
  readonly id: string;
  readonly method: string;
  /** Host name that the caller addresses. */
  readonly host: string;
  /** Path and query, unchanged. */
  readonly target: string;
  /** Headers forwarded to an endpoint unchanged. */
  readonly headers: Readonly<Record<string, string>>;
  /** Time for which the caller waits. */
  readonly timeout?: number;
  /** API key of the caller's account. */
  readonly apiKey?: string;
  readonly prompt?: Prompt;
  /** Number of items of each stage. */
  readonly itemCounts?: readonly number[];
  /** Key of the content that the first stages work on. */
  readonly itemKey?: string;
  /** Id of the last stream event that the caller has received. */
  readonly resumeAfter?: string;
  /** The caller's attempt that received the first event of the stream. */
  readonly firstAttempt?: AttemptReference;
}

/** An attempt that a caller names. */
export type AttemptReference = { readonly id: string } | "unreadable";

/** A decoded request, or why it is malformed. */
export type DecodedRequest =
  | { type: "ask"; request: IncomingRequest }
  | { type: "malformed"; detail: string };

/** Metadata that the gateway adds to a call. */
export interface CallMetadata {
  /** Name of the intended endpoint; any other rejects the call. */
  readonly endpoint: string;
  readonly account?: string;
  /** Address of an engine whose cache holds more of the prompt. */
  readonly fetchFrom?: string;
  /** Time until the request's deadline. */
  readonly remaining?: number;
  /** Priority from 0, the most urgent, to 9. */
  readonly urgency?: number;
  /** Handles of the last stages' results; present if the route has stages. */
  readonly inputs?: readonly string[];
  /** Id of the stream event after which to resume. */
  readonly resumeAfter?: string;
}

/** Load that an endpoint reports. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Time that work takes on the endpoint's machine at this moment, relative to
   * the usual time; from 1/8 to 8. */
  readonly slowness?: number;
}

/** Decoded status and headers of an endpoint's answer. */
export interface ReplyHead {
  readonly status: number;
  /** Id of the attempt that is answered. */
  readonly attempt?: string;
  /** Signature of the endpoint, which shows that the answer is its own. */
  readonly signature?: string;
  /** Whether the endpoint states that it has not executed the call. */
  readonly isNotRun: boolean;
  /** Whether the answer is from another endpoint than the intended one. */
  readonly isMisdirected: boolean;
  /** Whether an input of the call is lost. */
  readonly lacksInput: boolean;
  /** Load of the endpoint, if reported. */
  readonly load?: ReportedLoad | "unreadable";
  /** Requests per second that the endpoint accepts from all hosts together,
   * while its answers contain the limit. */
  readonly rateLimit?: number | "unreadable";
  /** Rejections per second beyond which the endpoint fails, while its answers
   * contain them. */
  readonly maxRejections?: number | "unreadable";
  /** Milliseconds for which the endpoint will be cold, if reported. */
  readonly coldFor?: number;
  /** Present if the endpoint announces that it is leaving. */
  readonly leaving?: "announced" | "unreadable";
  /** Milliseconds for which the endpoint asks this host to send nothing. */
  readonly retryAfter?: number | "unreadable";
  /** Headers forwarded to the caller unchanged. */
  readonly headers: Readonly<Record<string, string>>;
}

/** An item to be executed, one of those in a call. */
export interface ItemRequest {
  readonly request: string;
  readonly stage: number;
  readonly itemIndex: number;
  readonly remaining?: number;
  /** Key of the content that the first stages work on. */
  readonly key?: string;
  /** Handles of the results that later stages work on. */
  readonly inputs?: readonly string[];
}

/** Why an item failed. */
export type ItemFailure = "late" | "gone" | "room" | "error";

/** Result of one item. */
export type ItemResult =
  | { type: "made"; handle: string }
  | { type: "failed"; failure: ItemFailure };

/** An encoded call to an endpoint. */
export interface EncodedCall {
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: string;
}

/** Adapter of a platform: decodes and encodes messages, and makes no
 * decisions. */
export interface GatewayProtocol {
  decodeRequest(request: http.IncomingMessage): DecodedRequest;
  /** Whether a request to the readiness port is a readiness probe. */
  isReadinessProbe(request: http.IncomingMessage): boolean;
  callHeaders(
    request: IncomingRequest,
    metadata: CallMetadata,
  ): Record<string, string>;
  decodeReply(
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): ReplyHead;
  batchCall(endpoint: string, items: readonly ItemRequest[]): EncodedCall;
  /** Results in the order of the requested items; undefined if malformed. */
  decodeItemResults(body: Buffer): readonly ItemResult[] | undefined;
  releaseCall(handles: readonly string[]): EncodedCall;
  /** Address (host and port) of the endpoint that holds a result. */
  holderOf(handle: string): string;
}
