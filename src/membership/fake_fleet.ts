/** Hosts in one process on virtual time, with the faults of a network, for
 * tests and benches. A run repeats from its seed.
 * @module */

import * as runtime from "../runtime/mod.ts";

/** What a program wants sent. */
export interface OutgoingMessage {
  to: string;
  channel: runtime.Channel;
  body: unknown;
}

/** What runs on one host. `now` is the clock of that host. */
export interface Program {
  /** Takes a message. */
  receive(envelope: runtime.Envelope, now: number): OutgoingMessage[];
  /** Does what is due. */
  wake(now: number): OutgoingMessage[];
  /** When it next wants to be woken; Infinity for never. */
  readonly wakeAt: number;
}

/** Faults of every link. */
export interface Faults {
  /** Share of messages lost, 0 to 1. */
  drop: number;
  /** Share of messages that arrive twice, 0 to 1. */
  duplicate: number;
  /** Shortest and longest milliseconds on the way; a spread reorders. */
  delay: readonly [number, number];
}

/** What one host has sent. */
export interface Traffic {
  messages: number;
  bytes: number;
}

interface Slot<P> {
  program: P;
  cancel: runtime.Cancel;
  timerAt: number;
  /** How far the clock of the host is behind that of the fleet. */
  behind: number;
  /** Speed of its clock; 1 is right. */
  rate: number;
  pausedAt: number | undefined;
  held: runtime.Envelope[];
}

/** Hosts and the network between them. */
export class FakeFleet<P extends Program> {
  readonly clock = new runtime.FakeClock();
  readonly traffic = new Map<string, Traffic>();
  faults: Faults = { drop: 0, duplicate: 0, delay: [1, 1] };
  /** Whether a message can pass; replaced to cut links. */
  reaches: (from: string, to: string) => boolean = () => true;
  /** Whether a message is lost, whatever the other faults; for sabotage. */
  loses: (envelope: runtime.Envelope) => boolean = () => false;
  readonly #random: runtime.Random;
  readonly #slots = new Map<string, Slot<P>>();
  readonly #copy: boolean;

  /** With `copy`, each message goes through JSON as on a wire. */
  constructor(random: runtime.Random, copy = true) {
    this.#random = random;
    this.#copy = copy;
  }

  get ids(): string[] {
    return [...this.#slots.keys()];
  }

  get programs(): P[] {
    return [...this.#slots.values()].map((slot) => slot.program);
  }

  get(id: string): P {
    return this.#slots.get(id)!.program;
  }

  has(id: string): boolean {
    return this.#slots.has(id);
  }

  /** Starts a host, or starts it again with nothing of the last run. */
  start(id: string, program: P, rate = 1): void {
    this.crash(id);
    this.#slots.set(id, {
      program,
      cancel: () => {},
      timerAt: Infinity,
      behind: 0,
      rate,
      pausedAt: undefined,
      held: [],
    });
    this.#arm(id);
  }

  /** Ends a host at once. */
  crash(id: string): void {
    this.#slots.get(id)?.cancel();
    this.#slots.delete(id);
  }

  /** Stops a host; messages to it wait. */
  pause(id: string): void {
    const slot = this.#slots.get(id);
    if (slot === undefined || slot.pausedAt !== undefined) return;
    slot.pausedAt = this.clock.now();
    slot.cancel();
    slot.timerAt = Infinity;
  }

  /** Lets a host go on; its clock has stood still if `clockStopped`. */
  resume(id: string, clockStopped: boolean): void {
    const slot = this.#slots.get(id);
    if (slot?.pausedAt === undefined) return;
    if (clockStopped) {
      slot.behind += (this.clock.now() - slot.pausedAt) * slot.rate;
    }
    slot.pausedAt = undefined;
    const held = slot.held;
    slot.held = [];
    this.#arm(id);
    for (const envelope of held) this.#deliver(envelope);
  }

  /** Runs `action` on a host and sends what it returns. */
  call(
    id: string,
    action: (program: P, now: number) => OutgoingMessage[],
  ): void {
    const slot = this.#slots.get(id);
    if (slot === undefined || slot.pausedAt !== undefined) return;
    this.#act(id, slot, action);
  }

  /** Lets `ms` pass. */
  run(ms: number): void {
    this.clock.advance(ms);
  }

  #nowAt({ rate, behind }: Slot<P>): number {
    return this.clock.now() * rate - behind;
  }

  #arm(id: string): void {
    const slot = this.#slots.get(id);
    if (slot === undefined || slot.pausedAt !== undefined) return;
    const at = slot.program.wakeAt;
    if (at === slot.timerAt) return;
    slot.cancel();
    slot.timerAt = at;
    if (at === Infinity) return;
    const wait = (at - this.#nowAt(slot)) / slot.rate;
    slot.cancel = this.clock.after(wait, () => {
      slot.timerAt = Infinity;
      // Rounding must not make a timer fire before it is due.
      this.#act(id, slot, (program, now) => program.wake(Math.max(now, at)));
    });
  }

  #act(
    id: string,
    slot: Slot<P>,
    action: (program: P, now: number) => OutgoingMessage[],
  ): void {
    const outgoing = action(slot.program, this.#nowAt(slot));
    for (const message of outgoing) this.#send({ from: id, ...message });
    this.#arm(id);
  }

  #send(envelope: runtime.Envelope): void {
    const text = JSON.stringify(envelope);
    this.#count(envelope.from, text.length);
    if (this.loses(envelope)) return;
    const { drop, duplicate } = this.faults;
    const copies = this.#random.next() < duplicate ? 2 : 1;
    for (let copy = 0; copy < copies; copy++) {
      if (this.#random.next() < drop) continue;
      const sent = this.#copy ? JSON.parse(text) : envelope;
      this.clock.after(this.#delay(), () => this.#deliver(sent));
    }
  }

  #delay(): number {
    const [shortest, longest] = this.faults.delay;
    return shortest + this.#random.next() * (longest - shortest);
  }

  #deliver(envelope: runtime.Envelope): void {
    const slot = this.#slots.get(envelope.to);
    if (slot === undefined || !this.reaches(envelope.from, envelope.to)) return;
    if (slot.pausedAt !== undefined) slot.held.push(envelope);
    else {this.call(envelope.to, (program, now) =>
        program.receive(envelope, now));}
  }

  #count(id: string, bytes: number): void {
    const traffic = this.traffic.get(id) ?? { messages: 0, bytes: 0 };
    traffic.messages++;
    traffic.bytes += bytes;
    this.traffic.set(id, traffic);
  }
}
