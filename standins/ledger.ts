/** What the stand-ins ran and what it cost, for the verifier.
 * @module */

/** One call that was started. */
export interface Run {
  /** Value of `X-Request-Id`. */
  request: string;
  /** Value of `X-Stage`. */
  stage: string;
  service: string;
  endpoint: string;
  /** Marker of the input, or its hash where it has none. */
  owner: string;
}

/** Cost of one service. */
export interface Cost {
  calls: number;
  /** Calls whose answer nobody took. */
  wasted: number;
  refused: number;
  /** Milliseconds of endpoint slots. */
  engineTime: number;
  inputTokens: number;
  cachedTokens: number;
  outputTokens: number;
}

/** What one call cost. */
export interface Charge {
  engineTime: number;
  inputTokens: number;
  cachedTokens: number;
  outputTokens: number;
  /** Whether the answer was cut off or cancelled. */
  wasted: boolean;
}

/** A ledger as it is read over HTTP. */
export interface Totals {
  /** Runs by owner, then by service. */
  runs: Record<string, Record<string, number>>;
  /** Runs by `REQUEST/STAGE`. */
  requests: Record<string, number>;
  /** Cost by service. */
  costs: Record<string, Cost>;
}

/** Counts runs and costs. */
export class Ledger {
  readonly #runs = new Map<string, Map<string, number>>();
  readonly #requests = new Map<string, number>();
  readonly #costs = new Map<string, Cost>();

  /** Counts a call that starts. */
  run({ request, stage, service, owner }: Run): void {
    const runs = this.#runs.get(owner) ?? new Map<string, number>();
    runs.set(service, (runs.get(service) ?? 0) + 1);
    this.#runs.set(owner, runs);
    const key = `${request}/${stage}`;
    this.#requests.set(key, (this.#requests.get(key) ?? 0) + 1);
    this.#cost(service).calls++;
  }

  /** Counts a call that was refused before it started. */
  refuse(service: string): void {
    this.#cost(service).refused++;
  }

  /** Adds what a call cost. */
  charge(service: string, charge: Charge): void {
    const cost = this.#cost(service);
    cost.engineTime += charge.engineTime;
    cost.inputTokens += charge.inputTokens;
    cost.cachedTokens += charge.cachedTokens;
    cost.outputTokens += charge.outputTokens;
    if (charge.wasted) cost.wasted++;
  }

  /** Runs of an owner at a service, or at all. */
  runs(owner: string, service?: string): number {
    const runs = this.#runs.get(owner);
    if (runs === undefined) return 0;
    if (service !== undefined) return runs.get(service) ?? 0;
    return [...runs.values()].reduce((sum, count) => sum + count, 0);
  }

  /** Runs of one stage of a request. */
  stageRuns(request: string, stage: string): number {
    return this.#requests.get(`${request}/${stage}`) ?? 0;
  }

  /** Everything, as plain objects. */
  totals(): Totals {
    const runs = [...this.#runs].map(([owner, counts]) =>
      [owner, Object.fromEntries(counts)] as const
    );
    return {
      runs: Object.fromEntries(runs),
      requests: Object.fromEntries(this.#requests),
      costs: Object.fromEntries(this.#costs),
    };
  }

  #cost(service: string): Cost {
    let cost = this.#costs.get(service);
    if (cost === undefined) {
      cost = {
        calls: 0,
        wasted: 0,
        refused: 0,
        engineTime: 0,
        inputTokens: 0,
        cachedTokens: 0,
        outputTokens: 0,
      };
      this.#costs.set(service, cost);
    }
    return cost;
  }
}
