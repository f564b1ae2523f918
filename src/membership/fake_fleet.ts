/** Simulated hosts and network in one process, with virtual time and injected
 * faults, for tests and benchmarks. A run is reproducible from its seed.
 * @module */

import * as runtime from "../runtime/mod.ts";

/** A message that a program sends. */
export interface OutgoingMessage {
  to: string;
  channel: runtime.Channel;
  body: unknown;
}

/** Program that runs on a host. `now` is the time on the clock of that host. */
export interface Program {
  /** Processes a message. */
  receive(envelope: runtime.Envelope, now: number): OutgoingMessage[];
  /** Does what is due. */
  wake(now: number): OutgoingMessage[];
  /** When `wake` is to be called next; Infinity for never. */
  readonly wakeAt: number;
}

/** Faults injected on every link. */
export interface Faults {
  /** Probability that a message is lost, 0 to 1. */
  drop: number;
  /** Probability that a message arrives twice, 0 to 1. */
  duplicate: number;
  /** Minimum and maximum latency in milliseconds; if they differ, messages are
   * reordered. */
  delay: readonly [number, number];
}

/** Messages and bytes that one host has sent. */
export interface Traffic {
  messages: number;
  bytes: number;
}

interface HostState<P> {
  program: P;
  cancel: runtime.Cancel;
  timerAt: number;
  /** By how much the clock of the host is behind that of the fleet. */
  clockLag: number;
  /** Rate of the clock of the host; 1 is exact. */
  clockRate: number;
  pausedAt: number | undefined;
  heldMessages: runtime.Envelope[];
}

/** Simulated hosts and the network between them. */
export class FakeFleet<P extends Program> {
  readonly clock = new runtime.FakeClock();
  readonly traffic = new Map<string, Traffic>();
  faults: Faults = { drop: 0, duplicate: 0, delay: [1, 1] };
  /** Whether a message can pass between two hosts; replaced to partition the
   * network. */
  reaches: (from: string, to: string) => boolean = () => true;
  /** Whether a particular message is lost, in addition to random faults. */
  loses: (envelope: runtime.Envelope) => boolean = () => false;
  readonly #random: runtime.Random;
  readonly #hosts = new Map<string, HostState<P>>();
  readonly #copy: boolean;

  /** With `copy`, each message is serialized to JSON and parsed again, as on a
   * real network. */
  constructor(random: runtime.Random, copy = true) {
    this.#random = random;
    this.#copy = copy;
  }

  /** Ids of the running and paused hosts. */
  get ids(): string[] {
    return [...this.#hosts.keys()];
  }

  /** Programs of all hosts. */
  get programs(): P[] {
    return [...this.#hosts.values()].map((host) => host.program);
  }

  /** Returns the program of a host. */
  get(id: string): P {
    return this.#hosts.get(id)!.program;
  }

  /** Whether a host exists. */
  has(id: string): boolean {
    return this.#hosts.has(id);
  }

  /** Starts a host, or restarts it without its former state. */
  start(id: string, program: P, clockRate = 1): void {
    this.crash(id);
    this.#hosts.set(id, {
      program,
      cancel: () => {},
      timerAt: Infinity,
      clockLag: 0,
      clockRate,
      pausedAt: undefined,
      heldMessages: [],
    });
    this.#scheduleWake(id);
  }

  /** Stops a host at once. */
  crash(id: string): void {
    this.#hosts.get(id)?.cancel();
    this.#hosts.delete(id);
  }

  /** Pauses a host; messages to it are held back. */
  pause(id: string): void {
    const host = this.#hosts.get(id);
    if (host === undefined || host.pausedAt !== undefined) return;
    host.pausedAt = this.clock.now();
    host.cancel();
    host.timerAt = Infinity;
  }

  /** Resumes a host; with `clockStopped` its clock did not advance during the
   * pause. */
  resume(id: string, clockStopped: boolean): void {
    const host = this.#hosts.get(id);
    if (host?.pausedAt === undefined) return;
    if (clockStopped) {
      host.clockLag += (this.clock.now() - host.pausedAt) * host.clockRate;
    }
    host.pausedAt = undefined;
    const heldMessages = host.heldMessages;
    host.heldMessages = [];
    this.#scheduleWake(id);
    for (const envelope of heldMessages) this.#deliver(envelope);
  }

  /** Runs `action` on a host and sends what it returns. */
  call(
    id: string,
    action: (program: P, now: number) => OutgoingMessage[],
  ): void {
    const host = this.#hosts.get(id);
    if (host === undefined || host.pausedAt !== undefined) return;
    this.#runProgram(id, host, action);
  }

  /** Advances time by `ms`. */
  run(ms: number): void {
    this.clock.advance(ms);
  }

  #nowAt({ clockRate: rate, clockLag: behind }: HostState<P>): number {
    return this.clock.now() * rate - behind;
  }

  #scheduleWake(id: string): void {
    const host = this.#hosts.get(id);
    if (host === undefined || host.pausedAt !== undefined) return;
    const at = host.program.wakeAt;
    if (at === host.timerAt) return;
    host.cancel();
    host.timerAt = at;
    if (at === Infinity) return;
    const wait = (at - this.#nowAt(host)) / host.clockRate;
    host.cancel = this.clock.after(wait, () => {
      host.timerAt = Infinity;
      // Rounding could otherwise make a timer fire before it is due.
      this.#runProgram(
        id,
        host,
        (program, now) => program.wake(Math.max(now, at)),
      );
    });
  }

  #runProgram(
    id: string,
    host: HostState<P>,
    action: (program: P, now: number) => OutgoingMessage[],
  ): void {
    const outgoing = action(host.program, this.#nowAt(host));
    for (const message of outgoing) this.#send({ from: id, ...message });
    this.#scheduleWake(id);
  }

  #send(envelope: runtime.Envelope): void {
    const text = JSON.stringify(envelope);
    this.#countTraffic(envelope.from, text.length);
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
    const host = this.#hosts.get(envelope.to);
    if (host === undefined || !this.reaches(envelope.from, envelope.to)) return;
    if (host.pausedAt !== undefined) host.heldMessages.push(envelope);
    else {this.call(envelope.to, (program, now) =>
        program.receive(envelope, now));}
  }

  #countTraffic(id: string, bytes: number): void {
    const traffic = this.traffic.get(id) ?? { messages: 0, bytes: 0 };
    traffic.messages++;
    traffic.bytes += bytes;
    this.traffic.set(id, traffic);
  }
}
