/** A simulated caller: it sends a request, comes back once when it is refused
 * or cut off, and leaves when nothing comes.
 * @module */

import type * as gateway from "../../src/gateway/mod.ts";
import type * as runtime from "../../src/runtime/mod.ts";
import type * as accounts from "./account.ts";
import type * as loads from "./load.ts";
import type * as wire from "./wire.ts";

/** What a caller needs. */
export interface CallerOptions {
  readonly request: loads.Request;
  readonly clock: runtime.Clock;
  readonly random: runtime.Random;
  /** Sends an attempt; returns how it is left, or undefined where no host
   * takes it. */
  reach(
    ask: gateway.IncomingRequest,
    hearer: wire.Hearer,
  ): (() => void) | undefined;
  onEnd(ended: accounts.Ended): void;
}

/** Attempts of a caller. */
const ATTEMPTS = 2;
/** Milliseconds after which it tries again that was told nothing, and that
 * found no host. */
const AGAIN = 200;
const UNREACHED = 1000;
/** Part of the time left up to which it heeds when to come back. */
const HEEDED = 1 / 3;
/** It leaves after the longest of so many milliseconds, objectives, gaps. */
const LEAVE = { time: 2000, objectives: 4, gaps: 8 };

/** One caller. */
export class Caller {
  readonly #options: CallerOptions;
  readonly #began: number;
  #attempts = 0;
  #events = 0;
  #first?: number;
  #isSlow = false;
  #isRefused = false;
  #cancelTimer: runtime.Cancel = () => {};

  private constructor(options: CallerOptions) {
    this.#options = options;
    this.#began = options.clock.now();
  }

  /** Sends the first attempt. */
  static start(options: CallerOptions): Caller {
    const caller = new Caller(options);
    caller.#send();
    return caller;
  }

  get #left(): number {
    const { clock, request: { kind } } = this.#options;
    return this.#began + kind.patience - clock.now();
  }

  #send(): void {
    const { request: { id, kind, prompt, pieces }, clock } = this.#options;
    const number = ++this.#attempts;
    const isMine = () => number === this.#attempts;
    let status = 0;
    let retryAfter: number | undefined;
    let last = clock.now();
    const hearer: wire.Hearer = {
      head: (code, headers) => {
        status = code;
        retryAfter = Number(headers["retry-after"] ?? NaN);
      },
      event: () => {
        if (!isMine()) return;
        const now = clock.now();
        this.#noteEvent(now - last);
        last = now;
        watch();
      },
      end: () => {
        if (!isMine()) return;
        this.#cancelTimer();
        this.#close(status, retryAfter);
      },
    };
    const ask = {
      id: `${id}.${number}`,
      method: "POST",
      host: "host",
      target: `/${kind.name}/x`,
      headers: {},
      timeout: this.#left,
      prompt,
      itemCounts: pieces,
      itemKey: id,
      ...(this.#events > 0 && { resumeAfter: `${this.#events}` }),
    };
    const leave = this.#options.reach(ask, hearer);
    if (leave === undefined) return this.#close(0, undefined);
    const silent = Math.max(
      LEAVE.time,
      LEAVE.objectives * kind.objective,
      LEAVE.gaps * kind.gap,
    );
    const watch = () => {
      this.#cancelTimer();
      this.#cancelTimer = clock.after(Math.min(silent, this.#left), () => {
        if (!isMine()) return;
        this.#attempts++;
        leave();
        this.#end("left");
      });
    };
    watch();
  }

  #noteEvent(gap: number): void {
    const { clock, request: { kind } } = this.#options;
    if (this.#events++ === 0) this.#first = clock.now() - this.#began;
    else if (gap > kind.gap) this.#isSlow = true;
  }

  #close(status: number, retryAfter: number | undefined): void {
    const { clock, random, request: { kind, events } } = this.#options;
    if (status === 200 && this.#events >= events) {
      const isLate = this.#first! > kind.objective || this.#isSlow;
      return this.#end(isLate ? "late" : "in-time");
    }
    this.#isRefused ||= status === 503;
    const untold = status === 0 && this.#events === 0 ? UNREACHED : AGAIN;
    const told = retryAfter! >= 0 ? retryAfter! * 1000 : untold;
    const wait = Math.min(told, HEEDED * this.#left) * (1 + random.next() / 10);
    if (this.#attempts < ATTEMPTS && wait < this.#left) {
      clock.after(wait, () => this.#send());
      return;
    }
    this.#end(status === 503 ? "refused" : "failed");
  }

  #end(ending: accounts.Ending): void {
    this.#cancelTimer();
    const { request, onEnd } = this.#options;
    const isBack = this.#isRefused && this.#attempts > 1;
    onEnd({ request, ending, isBack, first: this.#first });
  }
}
