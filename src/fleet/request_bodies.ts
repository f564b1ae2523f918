/** Bodies of callers' requests. A host holds each until its request ends, since it
 * may be sent to another endpoint again. What all of them take, beside what is held
 * of endpoints' answers and of unread replies, is bounded: above the bound, requests
 * whose bodies are still arriving are refused.
 * @module */

import type * as http from "node:http";
import * as bodyLedgers from "../runtime/body_ledger.ts";
import * as chunkLists from "../runtime/chunk_list.ts";
import * as collectors from "../runtime/collector.ts";
import * as readTurns from "./read_turns.ts";
import type * as telemetry from "../telemetry/mod.ts";

/** Dependencies of the bodies of a host. */
export interface RequestBodiesOptions {
  readonly metrics: telemetry.Metrics;
  /** Most bytes that a host may hold for all requests together: their bodies,
   * answers that are not complete and replies that are not read. */
  readonly maxBytes: number;
  /** Bytes of the other two. */
  otherBytes(): number;
  /** Runs a function after this turn of the event loop. */
  afterTurn(action: () => void): void;
}

/** Memory that a complete body takes for each of its bytes: it has been copied, and
 * the endpoint's answer may be as long. */
const COMPLETE_BODY_RATIO = 2;
/** Bytes of a body from which on it is read in turns. */
const LARGE_BODY_BYTES = 32 * 1024;

/** Part of the bytes of all requests that bodies may take whatever else is held:
 * callers that read slowly must not keep out all others. */
const MIN_BODY_RATIO = 1 / 4;

/** Memory that an open request takes beside its body: its head, its state and that
 * of its reply. */
const REQUEST_OVERHEAD_BYTES = 16 * 1024;

/** Why a body can't be read. */
export type BodyFailure = "too-large" | "unreadable" | "no-memory";

/** What is read. */
export interface BodyOptions {
  readonly maxBytes: number;
  readonly account?: string;
}

/** Bodies of all requests of a host. */
export class RequestBodies {
  readonly #options: RequestBodiesOptions;
  readonly #ledger: bodyLedgers.BodyLedger;
  readonly #readTurns: readTurns.ReadTurns;
  #isGaugeDue = false;

  private constructor(options: RequestBodiesOptions) {
    const { maxBytes, otherBytes } = options;
    this.#options = options;
    this.#readTurns = readTurns.ReadTurns.create(options);
    this.#ledger = bodyLedgers.BodyLedger.create({
      bound: () => Math.max(MIN_BODY_RATIO * maxBytes, maxBytes - otherBytes()),
    });
  }

  static create(options: RequestBodiesOptions): RequestBodies {
    return new RequestBodies(options);
  }

  /** Bytes that bodies take. */
  get sum(): number {
    return this.#ledger.sum;
  }

  /** Starts to read the body of a request. */
  read(request: http.IncomingMessage, options: BodyOptions): RequestBody {
    return RequestBody.read(request, {
      ...options,
      grow: (body, bytes) => {
        this.#ledger.grow(body, bytes);
        this.#scheduleGauge();
      },
      complete: (body, bytes) => this.#ledger.complete(body, bytes),
      remove: (body) => {
        this.#ledger.remove(body);
        this.#scheduleGauge();
      },
      endTurn: (body) => this.#readTurns.endTurn(body),
    });
  }

  /** State for diagnostics. */
  dump(): unknown {
    const { maxBytes, otherBytes } = this.#options;
    return {
      bodyBytes: this.#ledger.sum,
      bodies: this.#ledger.size,
      otherBytes: otherBytes(),
      ...(maxBytes < Infinity && { bound: maxBytes }),
    };
  }

  #scheduleGauge(): void {
    if (this.#isGaugeDue) return;
    this.#isGaugeDue = true;
    this.#options.afterTurn(() => {
      this.#isGaugeDue = false;
      this.#options.metrics.gauge("requests.body_bytes", this.#ledger.sum);
    });
  }
}

/** How the host accounts for a body. */
interface Accounting {
  grow(body: RequestBody, bytes: number): void;
  complete(body: RequestBody, bytes: number): void;
  remove(body: RequestBody): void;
  /** Reads no more of a body before its next turn. */
  endTurn(body: RequestBody): void;
}

/** The body of one request. */
export class RequestBody implements bodyLedgers.HeldBody, readTurns.Reader {
  readonly account?: string;
  readonly #request: http.IncomingMessage;
  readonly #options: BodyOptions & Accounting;
  readonly #chunks = chunkLists.ChunkList.create();
  #isDiscarded = false;
  #resolve!: (result: Buffer | BodyFailure) => void;
  /** The complete body, or why it can't be read. */
  readonly result: Promise<Buffer | BodyFailure>;
  #receivedBytes = 0;
  #turnChunks = 0;
  /** Bytes that it took as it was evicted. */
  evictedBytes?: number;

  private constructor(
    request: http.IncomingMessage,
    options: BodyOptions & Accounting,
  ) {
    this.#request = request;
    this.#options = options;
    this.account = options.account;
    this.result = new Promise((resolve) => this.#resolve = resolve);
  }

  static read(
    request: http.IncomingMessage,
    options: BodyOptions & Accounting,
  ): RequestBody {
    const body = new RequestBody(request, options);
    body.#start();
    return body;
  }

  #start(): void {
    const request = this.#request;
    const declared = Number(request.headers["content-length"] ?? 0);
    if (declared > this.#options.maxBytes) this.#fail("too-large");
    this.#options.grow(this, REQUEST_OVERHEAD_BYTES);
    request.on("data", (chunk: Buffer) => this.#take(chunk));
    request.once("end", () => this.#complete());
    // The end of the connection is also handled where the response closes.
    request.once("error", () => this.#fail("unreadable"));
    request.once("close", () => this.#fail("unreadable"));
  }

  #take(chunk: Buffer): void {
    const { maxBytes, grow, endTurn } = this.#options;
    this.#receivedBytes += chunk.length;
    this.#turnChunks++;
    if (this.#receivedBytes > LARGE_BODY_BYTES) endTurn(this);
    if (this.#isDiscarded) return collectors.shared.addUnused(chunk.length);
    if (this.#receivedBytes > maxBytes) return this.#fail("too-large");
    this.#chunks.pushJoined(chunk);
    grow(this, REQUEST_OVERHEAD_BYTES + this.#chunks.heldBytes);
  }

  #complete(): void {
    if (this.#isDiscarded) return;
    const body = this.#chunks.take();
    const bytes = REQUEST_OVERHEAD_BYTES + COMPLETE_BODY_RATIO * body.length;
    this.#options.complete(this, bytes);
    this.#resolve(body);
  }

  #fail(failure: BodyFailure): void {
    this.#resolve(failure);
    this.#stop();
  }

  get turnChunks(): number {
    return this.#turnChunks;
  }

  pause(): void {
    this.#request.socket.pause();
  }

  resume(): void {
    this.#turnChunks = 0;
    this.#request.socket.resume();
  }

  /** Ends the request for want of memory. */
  evict(heldBytes: number): void {
    this.evictedBytes = heldBytes;
    this.#fail("no-memory");
  }

  /** Frees the body as its request has ended; what still arrives is discarded. */
  discard(): void {
    this.#options.remove(this);
    this.#stop();
  }

  #stop(): void {
    this.#isDiscarded = true;
    this.#chunks.clear();
  }
}
