/** The one loop of the request path: a stream of events goes in, each is
 * stepped to its effects, and these are performed before the next event.
 * @module */

import * as most from "most";

/** What a loop runs. */
export interface Options<E, F> {
  step(event: E): readonly F[];
  perform(effect: F): void;
}

/** Carries events into a core and effects out of it. */
export class Loop<E, F> {
  readonly #waiting: E[] = [];
  readonly #source = new PushSource<E>();
  #busy = false;

  private constructor({ step, perform }: Options<E, F>) {
    new most.Stream<E>(this.#source)
      .map(step)
      .observe((effects) => effects.forEach(perform));
  }

  static start<E, F>(options: Options<E, F>): Loop<E, F> {
    return new Loop(options);
  }

  /** Takes an event; one that comes up during a step waits its turn. */
  push(event: E): void {
    this.#waiting.push(event);
    if (this.#busy) return;
    this.#busy = true;
    try {
      for (let next; (next = this.#waiting.shift()) !== undefined;) {
        this.#source.push(next);
      }
    } finally {
      this.#busy = false;
    }
  }
}

/** A source of a stream that is pushed by hand. */
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
