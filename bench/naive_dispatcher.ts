/** The naive baseline: round robin over endpoints, first come first served,
 * every failure tried again at once until the deadline.
 * @module */

import type * as request from "../src/request/mod.ts";
import * as problems from "../src/request/problems.ts";

interface Flight {
  request: request.Request;
  stage: number;
  attempts: number;
  current?: request.Attempt;
  /** True once a call was sent. */
  sent: boolean;
}

interface Pool {
  endpoints: request.Endpoint[];
  next: number;
  queue: Flight[];
}

/** Dispatcher without a policy; takes the same events as the real one. */
export class NaiveDispatcher {
  readonly #flights = new Map<string, Flight>();
  readonly #pools = new Map<string, Pool>();
  readonly #inFlight = new Map<string, number>();
  #effects: request.Effect[] = [];

  step(event: request.Event, now: number): readonly request.Effect[] {
    this.#effects = [];
    if (event.type === "endpoints") this.#setEndpoints(event.endpoints);
    else if (event.type === "arrive") this.#arrive(event.request, now);
    else if (event.type === "answer") this.#answer(event.attempt, now);
    else if (event.type === "fail") this.#fail(event.attempt, now);
    else if (event.type === "wake") this.#expire(now);
    return this.#effects;
  }

  #setEndpoints(endpoints: readonly request.Endpoint[]): void {
    for (const endpoint of endpoints) {
      const pool = this.#poolOf(endpoint.service);
      pool.endpoints.push(endpoint);
    }
  }

  #arrive(arrived: request.Request, now: number): void {
    const flight = { request: arrived, stage: 0, attempts: 0, sent: false };
    this.#flights.set(arrived.id, flight);
    this.#effects.push({ type: "wake", at: arrived.deadline });
    this.#enqueue(flight, now);
  }

  #answer(attempt: request.Attempt, now: number): void {
    const flight = this.#release(attempt, now);
    if (flight === undefined) return;
    flight.stage++;
    flight.attempts = 0;
    if (flight.stage < flight.request.stages.length) {
      this.#enqueue(flight, now);
      return;
    }
    this.#flights.delete(attempt.request);
    this.#effects.push({ type: "complete", request: attempt.request });
  }

  #fail(attempt: request.Attempt, now: number): void {
    const flight = this.#release(attempt, now);
    if (flight !== undefined) this.#enqueue(flight, now);
  }

  #expire(now: number): void {
    for (const flight of this.#flights.values()) {
      if (flight.request.deadline > now) continue;
      const { id } = flight.request;
      const problem = problems.deadlinePassed(
        flight.sent ? "unknown" : "not-run",
      );
      this.#flights.delete(id);
      this.#effects.push({ type: "refuse", request: id, problem });
      // Nothing is cancelled: the call runs on, but its place is given back.
      if (flight.current !== undefined) this.#release(flight.current, now);
    }
  }

  #release(attempt: request.Attempt, now: number): Flight | undefined {
    const service = this.#serviceOf.get(attempt.endpoint)!;
    const key = `${attempt.request}/${attempt.stage}/${attempt.attempt}`;
    if (this.#out.delete(key)) {
      const count = this.#inFlight.get(attempt.endpoint) ?? 0;
      this.#inFlight.set(attempt.endpoint, count - 1);
    }
    this.#pump(this.#poolOf(service), now);
    const flight = this.#flights.get(attempt.request);
    if (flight?.current?.attempt !== attempt.attempt) return undefined;
    if (flight.current.stage !== attempt.stage) return undefined;
    flight.current = undefined;
    return flight;
  }

  readonly #out = new Set<string>();
  readonly #serviceOf = new Map<string, string>();

  #enqueue(flight: Flight, now: number): void {
    const { service } = flight.request.stages[flight.stage];
    const pool = this.#poolOf(service);
    pool.queue.push(flight);
    this.#pump(pool, now);
  }

  #pump(pool: Pool, now: number): void {
    while (pool.queue.length > 0) {
      const [flight] = pool.queue;
      if (!this.#flights.has(flight.request.id)) {
        pool.queue.shift();
        continue;
      }
      const endpoint = this.#nextFree(pool);
      if (endpoint === undefined) return;
      pool.queue.shift();
      this.#call(flight, endpoint, now);
    }
  }

  #nextFree(pool: Pool): request.Endpoint | undefined {
    for (let i = 0; i < pool.endpoints.length; i++) {
      const endpoint = pool.endpoints[pool.next++ % pool.endpoints.length];
      const count = this.#inFlight.get(endpoint.id) ?? 0;
      if (count < endpoint.slots) return endpoint;
    }
    return undefined;
  }

  #call(flight: Flight, endpoint: request.Endpoint, now: number): void {
    const attempt: request.Attempt = {
      request: flight.request.id,
      stage: flight.stage,
      attempt: ++flight.attempts,
      endpoint: endpoint.id,
      started: now,
      hedge: false,
      offset: 0,
    };
    flight.current = attempt;
    flight.sent = true;
    this.#serviceOf.set(endpoint.id, endpoint.service);
    this.#out.add(`${attempt.request}/${attempt.stage}/${attempt.attempt}`);
    const count = this.#inFlight.get(endpoint.id) ?? 0;
    this.#inFlight.set(endpoint.id, count + 1);
    const { deadline } = flight.request;
    this.#effects.push({ type: "call", attempt, deadline, priority: 5 });
  }

  #poolOf(service: string): Pool {
    let pool = this.#pools.get(service);
    if (pool === undefined) {
      pool = { endpoints: [], next: 0, queue: [] };
      this.#pools.set(service, pool);
    }
    return pool;
  }
}
