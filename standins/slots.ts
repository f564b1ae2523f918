/** Slots of a stand-in that serves one call per slot, in order of priority,
 * then of arrival.
 * @module */

/** A call that waits for a slot or holds one. */
export interface Job {
  id: string;
  /** The larger goes first. */
  priority: number;
  /** Milliseconds that it takes. */
  time: number;
}

/** Limits of the slots. */
export interface Limits {
  slots: number;
  /** Jobs that may wait. */
  waiting: number;
}

/** Slots after a change, and the jobs that start with it. */
export interface Change {
  slots: Slots;
  started: readonly Job[];
}

/** State of the slots. */
export class Slots {
  readonly limits: Limits;
  readonly running: readonly Job[];
  readonly waiting: readonly Job[];

  private constructor(
    limits: Limits,
    running: readonly Job[],
    waiting: readonly Job[] = [],
  ) {
    this.limits = limits;
    this.running = running;
    this.waiting = waiting;
  }

  /** Empty slots. */
  static create(limits: Limits): Slots {
    return new Slots(limits, []);
  }

  /** Whether a new job would find no room to wait. */
  get full(): boolean {
    return this.running.length >= this.limits.slots &&
      this.waiting.length >= this.limits.waiting;
  }

  /** Adds a job; it starts at once if a slot is free. */
  add(job: Job): Change {
    const pos = this.waiting.findIndex((other) =>
      other.priority < job.priority
    );
    const at = pos < 0 ? this.waiting.length : pos;
    const waiting = this.waiting.toSpliced(at, 0, job);
    return fill(this, { running: this.running, waiting });
  }

  /** Takes a job out, running or not. */
  remove(id: string): Change {
    const others = (list: readonly Job[]) =>
      list.filter((job) => job.id !== id);
    const running = others(this.running);
    return fill(this, { running, waiting: others(this.waiting) });
  }

  /** The same limits with other jobs. */
  with(running: readonly Job[], waiting: readonly Job[]): Slots {
    return new Slots(this.limits, running, waiting);
  }
}

/** Starts what waits while slots are free. */
function fill(
  slots: Slots,
  { running, waiting }: Pick<Slots, "running" | "waiting">,
): Change {
  const free = Math.max(0, slots.limits.slots - running.length);
  const started = waiting.slice(0, free);
  return {
    slots: slots.with([...running, ...started], waiting.slice(free)),
    started,
  };
}
