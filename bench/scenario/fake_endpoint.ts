/** A fake endpoint in virtual time: slots, a queue by priority, service time
 * linear in size with noise, and one fault.
 * @module */

import type * as request from "../../src/request/mod.ts";
import type * as runtime from "../../src/runtime/mod.ts";
import * as deployment from "./deployment.ts";
import * as load from "./load.ts";
import * as scenario from "./scenario.ts";

/** One call on its way to an endpoint. */
export interface Call {
  attempt: request.Attempt;
  priority: number;
  size: number;
  output: number;
  /** All that chance decides in it. */
  random: runtime.Random;
}

/** What a call gives back. */
export interface Listener {
  progress(call: Call): void;
  answer(call: Call, usage: request.Usage): void;
  fail(call: Call, failure: request.Failure): void;
  /** Milliseconds that the call held a slot. */
  cost(call: Call, time: number): void;
}

/** Milliseconds on the way there and back. */
const LINK = 3;

/** Milliseconds without a byte after which a connection is given up. */
const SILENCE_BOUND = 5000;

/** Deviation of the logarithm of service times. */
const NOISE = 0.15;

/** Calls in a hundred that take three times as long, without any fault. */
const SLOW_SHARE = 0.01;
const SLOW_FACTOR = 3;

interface Connection {
  silent: boolean;
}

interface Running {
  call: Call;
  connection: Connection;
  /** Start in a slot; undefined while it waits. */
  started?: number;
  /** False once the caller cares no longer. */
  wanted: boolean;
  timers: runtime.Cancel[];
}

/** Parts of a fake endpoint. */
export interface Options {
  id: string;
  pool: deployment.Pool;
  clock: runtime.FakeClock;
  fault: scenario.Fault;
  listener: Listener;
}

/** One endpoint of a pool. */
export class FakeEndpoint {
  readonly #options: Options;
  readonly #calls = new Map<string, Running>();
  readonly #waiting: Running[] = [];
  #running = 0;
  #connection: Connection = { silent: false };

  constructor(options: Options) {
    this.#options = options;
    const { fault, clock } = options;
    if (fault.type !== "silent") return;
    clock.after(scenario.FAULT_AT, () => this.#goSilent(fault.every));
  }

  /** Load as the endpoint reports it. */
  get load(): request.Load {
    const { pool, clock } = this.#options;
    const running = this.#running;
    const kvUsed = running / pool.slots;
    return { running, waiting: this.#waiting.length, kvUsed, at: clock.now() };
  }

  call(call: Call): void {
    const connection = this.#connection;
    const running = { call, connection, wanted: true, timers: [] };
    this.#calls.set(keyOf(call.attempt), running);
    if (connection.silent) this.#awaitSilence(running);
    if (this.#running < this.#options.pool.slots) this.#start(running);
    else this.#enqueue(running);
  }

  cancel(attempt: request.Attempt): void {
    const running = this.#calls.get(keyOf(attempt));
    if (running === undefined) return;
    // A caller that hears nothing on a connection opens a new one.
    if (running.connection === this.#connection && running.connection.silent) {
      this.#connection = { silent: false };
    }
    this.#end(running);
  }

  #enqueue(running: Running): void {
    const { priority } = running.call;
    const before = this.#waiting.findIndex((other) => {
      return other.call.priority < priority;
    });
    const pos = before < 0 ? this.#waiting.length : before;
    this.#waiting.splice(pos, 0, running);
  }

  #start(running: Running): void {
    const { clock, pool } = this.#options;
    const { call } = running;
    running.started = clock.now();
    this.#running++;
    const { random } = call;
    const factor = this.#factor(random);
    const time = factor * deployment.workOf(pool, call.size, call.output);
    if (this.#isFailing()) return this.#fail(running, time, random);
    if (pool.output > 0) {
      const first = factor * deployment.workOf(pool, call.size, 1);
      this.#after(running, first, () => this.#progress(running));
    }
    this.#after(running, time, () => this.#answer(running));
  }

  #factor(random: runtime.Random): number {
    const { fault, clock } = this.#options;
    const noise = noiseOf(random);
    const faulty = fault.type === "straggler" &&
      clock.now() >= scenario.FAULT_AT;
    return noise * (faulty ? fault.factor : 1);
  }

  #isFailing(): boolean {
    const { fault, clock } = this.#options;
    return fault.type === "failing" && clock.now() >= scenario.FAULT_AT;
  }

  #fail(running: Running, time: number, random: runtime.Random): void {
    const atOnce = random.next() < 0.5;
    const failure: request.Failure = atOnce
      ? { reason: "connection", outcome: "not-run", received: 0 }
      : { reason: "error", outcome: "ran", received: 0 };
    this.#after(running, atOnce ? 0 : time / 2, () => {
      this.#end(running);
      this.#reply(running, () => {
        this.#options.listener.fail(running.call, failure);
      });
    });
  }

  #progress(running: Running): void {
    this.#reply(running, () => this.#options.listener.progress(running.call));
  }

  #answer(running: Running): void {
    const { call, started = 0 } = running;
    const usage: request.Usage = {
      inputTokens: call.size,
      outputTokens: call.output,
      cachedTokens: 0,
      engineTime: this.#options.clock.now() - started,
    };
    // A silent connection swallows the answer; the caller still waits.
    this.#end(running, running.connection.silent);
    this.#reply(running, () => this.#options.listener.answer(call, usage));
  }

  #reply(running: Running, send: () => void): void {
    if (running.connection.silent || !running.wanted) return;
    this.#options.clock.after(LINK, send);
  }

  /** Gives the slot back; `awaited` keeps the caller's wait. */
  #end(running: Running, awaited = false): void {
    const { clock, listener, pool } = this.#options;
    const { call, started } = running;
    if (!awaited) {
      for (const cancel of running.timers) cancel();
      this.#calls.delete(keyOf(call.attempt));
    }
    if (started === undefined) {
      this.#waiting.splice(this.#waiting.indexOf(running), 1);
      return;
    }
    if (started === Infinity) return;
    running.started = Infinity;
    listener.cost(call, clock.now() - started);
    this.#running--;
    const next = this.#running < pool.slots ? this.#waiting.shift() : undefined;
    if (next !== undefined) this.#start(next);
  }

  #goSilent(every: number): void {
    this.#connection.silent = true;
    for (const running of this.#calls.values()) {
      if (running.connection === this.#connection) this.#awaitSilence(running);
    }
    this.#options.clock.after(every, () => this.#goSilent(every));
  }

  #awaitSilence(running: Running): void {
    this.#after(running, SILENCE_BOUND, () => {
      if (running.connection === this.#connection) {
        this.#connection = { silent: false };
      }
      this.#end(running);
      this.#options.listener.fail(running.call, {
        reason: "silent",
        outcome: "unknown",
        received: 0,
      });
    });
  }

  #after(running: Running, delay: number, callback: () => void): void {
    running.timers.push(this.#options.clock.after(delay, callback));
  }
}

/** Factor on the time of a call by chance alone. */
export function noiseOf(random: runtime.Random): number {
  const noise = Math.exp(NOISE * load.normal(random));
  return random.next() < SLOW_SHARE ? SLOW_FACTOR * noise : noise;
}

/** Name of an attempt among all of a run. */
export function keyOf(attempt: request.Attempt): string {
  return `${attempt.request}/${attempt.stage}/${attempt.attempt}`;
}
