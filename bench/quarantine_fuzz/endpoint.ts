/** An endpoint that ends under some requests and starts again as another
 * incarnation.
 * @module */

import type * as runtime from "../../src/runtime/mod.ts";

/** How a run ended, as its host sees it. */
export type RunEnd = "answered" | "broken" | "unreachable";

/** One place where incarnations follow each other. */
export class Endpoint {
  readonly name: string;
  readonly #clock: runtime.Clock;
  readonly #runs = new Set<(end: RunEnd) => void>();
  /** Number of its incarnation. */
  #born = 1;
  isUp = true;
  /** When its last heartbeat was heard. */
  heardAt = 0;

  constructor(name: string, clock: runtime.Clock) {
    this.name = name;
    this.#clock = clock;
  }

  /** Key of the incarnation that runs, or ran last. */
  get key(): string {
    return `${this.name}~${this.#born}`;
  }

  /** Runs a request for `length` milliseconds. */
  run(length: number): Promise<RunEnd> {
    if (!this.isUp) return Promise.resolve("unreachable");
    return new Promise((resolve) => {
      const end = (how: RunEnd) => {
        cancel();
        this.#runs.delete(end);
        resolve(how);
      };
      const cancel = this.#clock.after(length, () => end("answered"));
      this.#runs.add(end);
    });
  }

  /** Ends, and is back after so many milliseconds. */
  crash(backAfter: number): void {
    if (!this.isUp) return;
    this.isUp = false;
    this.reset();
    this.#clock.after(backAfter, () => {
      this.#born++;
      this.isUp = true;
      this.heardAt = this.#clock.now();
    });
  }

  /** Has its connections reset; it lives. */
  reset(): void {
    [...this.#runs].forEach((end) => end("broken"));
  }
}
