/** Event loop of the request path: passes each event to a step function and
 * performs the resulting effects before the next event.
 * @module */

import * as most from "most";

/** Functions that a loop runs. */
export interface Options<E, F> {
  step(event: E): readonly F[];
  perform(effect: F): void;
}

/** Runs events one after another through a step function. */
export class Loop<E, F> {
  readonly #pending: E[] = [];
  readonly #source = new PushSource<E>();
  #running = false;

  private constructor({ step, perform }: Options<E, F>) {
    new most.Stream<E>(this.#source)
      .map(step)
      .observe((effects) => effects.forEach(perform));
  }

  static start<E, F>(options: Options<E, F>): Loop<E, F> {
    return new Loop(options);
  }

  /** Handles an event; one pushed during a step is queued until it ends. */
  push(event: E): void {
    this.#pending.push(event);
    if (this.#running) return;
    this.#running = true;
    try {
      for (let next; (next = this.#pending.shift()) !== undefined;) {
        this.#source.push(next);
      }
    } finally {
      this.#running = false;
    }
  }
}

/** Stream source whose events are pushed by the caller. */
class PushSource<E> implements most.Source<E> {
  #sink: most.Sink<E> | undefined;
  #now: () => number = () => 0;

  run(sink: most.Sink<E>, scheduler: most.Scheduler): most.Disposable<E> {
    this.#sink = sink;
    this.#now = () => scheduler.now();
    return { dispose() {} };
  }

  push(event: E): void {
    this.#sink?.event(this.#now(), event);
  }
}
