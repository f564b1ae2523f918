/** Continuous batching of a model engine, driven by a clock: steps in which
 * every running sequence decodes, and a chunk of prompt tokens is prefilled.
 * @module */

/** How fast an engine works. Times are milliseconds. */
export interface Speed {
  /** Sequences that run side by side. */
  slots: number;
  /** Sequences that may wait for a slot. */
  waiting: number;
  /** Time of a step whatever it does. */
  stepTime: number;
  /** Time that each prompt token adds to a step. */
  prefillTime: number;
  /** Time that each decoding sequence adds to a step. */
  decodeTime: number;
  /** Most prompt tokens in a step. */
  chunk: number;
  /** Tokens that a sequence decodes in a step. */
  stride: number;
}

/** A call as the batch sees it. */
export interface Sequence {
  id: string;
  /** The larger goes first; equals go by arrival. */
  priority: number;
  /** Prompt tokens to compute. */
  prefill: number;
  /** Tokens to generate. */
  decode: number;
}

interface Running extends Sequence {
  started: number;
}

interface Step {
  ends: number;
  /** Prompt tokens computed in this step, by sequence. */
  prefill: ReadonlyMap<string, number>;
}

/** What a batch tells its engine. */
export type Effect =
  | { type: "start"; id: string }
  | { type: "tokens"; id: string; count: number }
  | { type: "finish"; id: string; slotTime: number };

/** A batch after some time, and what happened meanwhile. */
export interface Advance {
  batch: Batch;
  effects: readonly Effect[];
}

/** State of an engine's batch. */
export class Batch {
  readonly speed: Speed;
  readonly running: readonly Running[];
  readonly waiting: readonly Sequence[];
  readonly #step: Step | undefined;

  private constructor(
    speed: Speed,
    sequences: { running: readonly Running[]; waiting: readonly Sequence[] },
    step?: Step,
  ) {
    this.speed = speed;
    this.running = sequences.running;
    this.waiting = sequences.waiting;
    this.#step = step;
  }

  /** An idle batch. */
  static create(speed: Speed): Batch {
    return new Batch(speed, { running: [], waiting: [] });
  }

  /** When the present step ends, if one is under way. */
  get next(): number | undefined {
    return this.#step?.ends;
  }

  /** Whether a new sequence would find room to wait. */
  get full(): boolean {
    const free = this.speed.slots - this.running.length;
    return this.waiting.length >= this.speed.waiting + Math.max(0, free);
  }

  /** Puts a sequence in the queue. */
  add(sequence: Sequence): Batch {
    const { running } = this;
    const pos = this.waiting.findIndex((other) =>
      other.priority < sequence.priority
    );
    const at = pos < 0 ? this.waiting.length : pos;
    const waiting = this.waiting.toSpliced(at, 0, sequence);
    return new Batch(this.speed, { running, waiting }, this.#step);
  }

  /** Takes a sequence out, running or not. */
  remove(id: string): Batch {
    const others = <T extends Sequence>(list: readonly T[]) =>
      list.filter((sequence) => sequence.id !== id);
    const running = others(this.running);
    const waiting = others(this.waiting);
    return new Batch(this.speed, { running, waiting }, this.#step);
  }

  /** Ends the steps due by `now` and begins the next one. Steps take `factor`
   * times as long as they should. */
  advance(now: number, factor = 1): Advance {
    const effects: Effect[] = [];
    let batch = this.#begin(now, { effects, factor });
    while (batch.#step !== undefined && batch.#step.ends <= now) {
      const { ends } = batch.#step;
      batch = batch.#end(effects).#begin(ends, { effects, factor });
    }
    return { batch, effects };
  }

  #begin(
    now: number,
    { effects, factor }: { effects: Effect[]; factor: number },
  ): Batch {
    if (this.#step !== undefined) return this;
    const free = this.speed.slots - this.running.length;
    const admitted = this.waiting.slice(0, free);
    for (const { id } of admitted) effects.push({ type: "start", id });
    const running = [
      ...this.running,
      ...admitted.map((sequence) => ({ ...sequence, started: now })),
    ];
    const waiting = this.waiting.slice(admitted.length);
    const step = running.length === 0
      ? undefined
      : plan(running, { speed: this.speed, now, factor });
    return new Batch(this.speed, { running, waiting }, step);
  }

  #end(effects: Effect[]): Batch {
    const { ends, prefill } = this.#step!;
    const running: Running[] = [];
    for (const sequence of this.running) {
      const left = sequence.prefill - (prefill.get(sequence.id) ?? 0);
      const count = left > 0 ? 0 : Math.min(this.speed.stride, sequence.decode);
      const { id, started } = sequence;
      const decode = sequence.decode - count;
      if (count > 0) effects.push({ type: "tokens", id, count });
      if (decode > 0) running.push({ ...sequence, prefill: left, decode });
      else effects.push({ type: "finish", id, slotTime: ends - started });
    }
    return new Batch(this.speed, { running, waiting: this.waiting });
  }
}

interface Plan {
  speed: Speed;
  now: number;
  factor: number;
}

function plan(
  running: readonly Running[],
  { speed, now, factor }: Plan,
): Step {
  const prefill = new Map<string, number>();
  let left = speed.chunk;
  let decoding = 0;
  for (const sequence of running) {
    const share = Math.min(left, sequence.prefill);
    if (sequence.prefill === 0) decoding++;
    else prefill.set(sequence.id, share);
    left -= share;
  }
  const time = speed.stepTime + speed.decodeTime * decoding +
    speed.prefillTime * (speed.chunk - left);
  return { ends: now + time * factor, prefill };
}
