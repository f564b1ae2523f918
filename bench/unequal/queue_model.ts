/** Small model of unequal machines: queues whose servers work at a speed that
 * varies in time.
 * @module */

import * as runtime from "../../src/runtime/mod.ts";

/** Speeds of the machines, in turn: they differ by a factor of 2.7, as those of
 * the deployment that the model stands for. */
const SPEEDS = [0.6, 1, 1.6];
/** Time for which a machine's momentary factor stays the same. */
const PERIOD_MS = 600;
/** Share of the periods in which a machine is slower, and the factor. */
const SLOW_SHARE = 0.25;
const SLOW_FACTOR = 2.5;

/** How the speeds of machines differ. */
export interface Variation {
  /** Whether the machines have different lasting speeds. */
  readonly isUnequal: boolean;
  /** Whether each is slower for a quarter of the time. */
  readonly isFluctuating: boolean;
  readonly seed: number;
  /** Milliseconds for which they work. */
  readonly duration: number;
}

/** A machine that works at a varying speed. */
export class Machine {
  readonly #speed: number;
  readonly #factors: readonly number[];

  private constructor(speed: number, factors: readonly number[]) {
    this.#speed = speed;
    this.#factors = factors;
  }

  /** Creates machines. */
  static createAll(
    count: number,
    { isUnequal, isFluctuating, seed, duration }: Variation,
  ): Machine[] {
    const random = runtime.createRandom(seed);
    return Array.from({ length: count }, (_, index) => {
      const factors = Array.from(
        { length: Math.ceil(duration / PERIOD_MS) },
        () => isFluctuating && random.next() < SLOW_SHARE ? SLOW_FACTOR : 1,
      );
      return new Machine(
        isUnequal ? SPEEDS[index % SPEEDS.length] : 1,
        factors,
      );
    });
  }

  /** Mean speed over all periods. */
  get meanSpeed(): number {
    const sum = this.#factors.reduce((total, factor) => total + 1 / factor, 0);
    return this.#speed * sum / this.#factors.length;
  }

  /** How much longer than usual work takes on it at a time. */
  factor(now: number): number {
    return this.#factors[Math.floor(now / PERIOD_MS)] ?? 1;
  }

  /** Milliseconds that work of `work` milliseconds at speed 1 takes. */
  timeFor(work: number, now: number): number {
    let left = work;
    let at = now;
    for (;;) {
      const speed = this.#speed / this.factor(at);
      const periodEnd = (Math.floor(at / PERIOD_MS) + 1) * PERIOD_MS;
      if (left <= (periodEnd - at) * speed) return at + left / speed - now;
      left -= (periodEnd - at) * speed;
      at = periodEnd;
    }
  }
}

/** A queue with a number of places; first come, first served. */
export class Station {
  readonly #waiting: (() => void)[] = [];
  #free: number;

  constructor(places: number) {
    this.#free = places;
  }

  /** Calls `start` once there is a place, which `leave` frees. */
  enter(start: () => void): void {
    if (this.#free === 0) return void this.#waiting.push(start);
    this.#free--;
    start();
  }

  leave(): void {
    const next = this.#waiting.shift();
    if (next === undefined) this.#free++;
    else next();
  }
}

/** Calls `arrive` at the times of a Poisson process. */
export function schedulePoisson(
  arrive: () => void,
  { clock, rate, until, random }: {
    clock: runtime.Clock;
    /** Arrivals per millisecond. */
    rate: number;
    until: number;
    random: runtime.Random;
  },
): void {
  const next = () => {
    if (clock.now() >= until) return;
    arrive();
    schedule();
  };
  const schedule = () =>
    void clock.after(-Math.log(1 - random.next()) / rate, next);
  schedule();
}

/** The value below which a part of the values lie. */
export function quantile(values: readonly number[], part: number): number {
  const sorted = values.toSorted((one, other) => one - other);
  return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))];
}
