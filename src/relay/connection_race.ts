/** Opens a connection on the first of several paths that works, as RFC 8305
 * does for the addresses of a host: the paths are tried one after the other,
 * the next one as soon as the last has failed or is slow.
 * @module */

import type * as net from "node:net";
import type * as runtime from "../runtime/mod.ts";
import * as errors from "./errors.ts";

/** Reports the end of an attempt; ignored once the attempt is cancelled. */
export type AttemptCallback = (
  error: Error | undefined,
  socket?: net.Socket,
) => void;

/** A path on which a connection may be opened. */
export interface Candidate {
  /** Name for logs and errors. */
  readonly name: string;
  /** Milliseconds after which the next path is tried as well. */
  readonly patience: number;
  /** Opens the connection; the returned function gives it up. */
  open(callback: AttemptCallback): runtime.Cancel;
}

/** Options of a race. */
export interface RaceOptions {
  readonly clock: runtime.Clock;
  /** Paths in order of preference. */
  readonly candidates: readonly Candidate[];
  /** Milliseconds after which no path counts as working. */
  readonly timeout: number;
  /** A path has failed, or was too slow. Returns whether no further path is worth
   * trying. */
  onFailure?(candidate: Candidate, error: Error): boolean;
}

/** The connection of the path that won. */
export interface Winner {
  readonly candidate: Candidate;
  readonly socket: net.Socket;
}

/** Races paths; rejects with `RelayError` if none works in time. */
export function race(options: RaceOptions): Promise<Winner> {
  return new Race(options).result;
}

class Race {
  readonly result: Promise<Winner>;
  readonly #options: RaceOptions;
  readonly #pending = new Map<Candidate, runtime.Cancel>();
  #resolve!: (winner: Winner) => void;
  #reject!: (error: Error) => void;
  #next = 0;
  #isDone = false;
  #cancelPatience: runtime.Cancel = () => {};
  readonly #cancelTimeout: runtime.Cancel;
  readonly #failures: string[] = [];

  constructor(options: RaceOptions) {
    this.#options = options;
    this.result = new Promise((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
    });
    const { clock, timeout } = options;
    this.#cancelTimeout = clock.after(timeout, () => this.#lose("timeout"));
    this.#tryNext();
  }

  #tryNext(): void {
    this.#cancelPatience();
    if (this.#isDone) return;
    const { candidates } = this.#options;
    const candidate = candidates[this.#next++];
    if (candidate === undefined) {
      if (this.#pending.size === 0) this.#lose("no path left");
      return;
    }
    this.#schedulePatience(candidate);
    this.#pending.set(candidate, () => {});
    const cancel = candidate.open((error, socket) =>
      this.#onEnd(candidate, { error, socket })
    );
    if (this.#pending.has(candidate)) this.#pending.set(candidate, cancel);
  }

  /** After a pause of this process, timers fire before sockets are read: the
   * last step of the wait lets an answer that has arrived go first. */
  #schedulePatience({ patience }: Candidate): void {
    const { clock } = this.#options;
    this.#cancelPatience = clock.after(patience - 1, () => {
      this.#cancelPatience = clock.after(1, () => this.#tryNext());
    });
  }

  #onEnd(
    candidate: Candidate,
    { error, socket }: { error?: Error; socket?: net.Socket },
  ): void {
    if (!this.#pending.delete(candidate)) return;
    if (socket !== undefined) return this.#win({ candidate, socket });
    const failure = error ?? new errors.RelayError("no connection");
    this.#failures.push(`${candidate.name}: ${failure.message}`);
    const isHopeless = this.#options.onFailure?.(candidate, failure) ?? false;
    if (isHopeless) return this.#lose("endpoint unreachable");
    this.#tryNext();
  }

  #win(winner: Winner): void {
    const { candidates, onFailure } = this.#options;
    // The path that was tried last may have had no time to work.
    const last = candidates[this.#next - 1];
    const slow = [...this.#pending.keys()].filter((each) => each !== last);
    this.#end();
    for (const candidate of slow) {
      onFailure?.(candidate, new errors.RelayError("slower than another path"));
    }
    this.#resolve(winner);
  }

  #lose(reason: string): void {
    const { onFailure } = this.#options;
    const slow = [...this.#pending.keys()];
    this.#end();
    for (const candidate of slow) {
      onFailure?.(candidate, new errors.RelayError(reason));
    }
    const details = [...this.#failures, ...slow.map(({ name }) => name)];
    this.#reject(
      new errors.RelayError(`No path (${reason}): ${details.join("; ")}`),
    );
  }

  #end(): void {
    this.#isDone = true;
    this.#cancelPatience();
    this.#cancelTimeout();
    for (const cancel of this.#pending.values()) cancel();
    this.#pending.clear();
  }
}
