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

/** Whose call it was, and where. */
export type Payer = Pick<Run, "service" | "owner">;

/** Cost of one service. */
export interface Cost {
  calls: number;
  /** Calls whose answer nobody took. */
  wasted: number;
  refused: number;
  /** Milliseconds of endpoint slots. */
  engineTime: number;
  /** Those of wasted calls. */
  wastedTime: number;
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

/** What one request took of one service. */
export interface Share {
  runs: number;
  /** Most runs of one stage. */
  most: number;
  /** Milliseconds of endpoint slots. */
  engineTime: number;
}

/** A ledger as it is read over HTTP. */
export interface Totals {
  /** Shares by owner, then by service. */
  owners: Record<string, Record<string, Share>>;
  /** Runs by `REQUEST/STAGE`. */
  requests: Record<string, number>;
  /** Cost by service. */
  costs: Record<string, Cost>;
}

/** Counts runs and costs. */
export class Ledger {
  readonly #owners = new Map<string, Map<string, Share>>();
  readonly #stages = new Map<string, number>();
  readonly #requests = new Map<string, number>();
  readonly #costs = new Map<string, Cost>();
  readonly #endpoints = new Map<string, number>();

  /** Counts a call that starts. */
  run({ request, stage, service, endpoint, owner }: Run): void {
    this.#endpoints.set(endpoint, this.endpointRuns(endpoint) + 1);
    const share = this.#share(owner, service);
    share.runs++;
    share.most = Math.max(share.most, this.#count(owner, { service, stage }));
    const key = `${request}/${stage}`;
    this.#requests.set(key, (this.#requests.get(key) ?? 0) + 1);
    this.#cost(service).calls++;
  }

  /** Counts a call that was refused before it started. */
  refuse(service: string): void {
    this.#cost(service).refused++;
  }

  /** Adds what a call of an owner cost. */
  charge({ service, owner }: Payer, charge: Charge): void {
    this.#share(owner, service).engineTime += charge.engineTime;
    const cost = this.#cost(service);
    cost.engineTime += charge.engineTime;
    cost.inputTokens += charge.inputTokens;
    cost.cachedTokens += charge.cachedTokens;
    cost.outputTokens += charge.outputTokens;
    if (!charge.wasted) return;
    cost.wasted++;
    cost.wastedTime += charge.engineTime;
  }

  /** Runs of an owner at a service, or at all. */
  runs(owner: string, service?: string): number {
    const shares = this.#owners.get(owner);
    if (shares === undefined) return 0;
    if (service !== undefined) return shares.get(service)?.runs ?? 0;
    return [...shares.values()].reduce((sum, { runs }) => sum + runs, 0);
  }

  /** Calls that an endpoint has started. */
  endpointRuns(endpoint: string): number {
    return this.#endpoints.get(endpoint) ?? 0;
  }

  /** Runs of one stage of a request. */
  stageRuns(request: string, stage: string): number {
    return this.#requests.get(`${request}/${stage}`) ?? 0;
  }

  /** Everything, as plain objects. */
  totals(): Totals {
    const owners = [...this.#owners].map(([owner, shares]) =>
      [owner, Object.fromEntries(shares)] as const
    );
    return {
      owners: Object.fromEntries(owners),
      requests: Object.fromEntries(this.#requests),
      costs: Object.fromEntries(this.#costs),
    };
  }

  /** Counts a run of an owner's stage; how many there were. */
  #count(
    owner: string,
    { service, stage }: Pick<Run, "service" | "stage">,
  ): number {
    const key = `${owner}/${service}/${stage}`;
    const count = (this.#stages.get(key) ?? 0) + 1;
    this.#stages.set(key, count);
    return count;
  }

  #share(owner: string, service: string): Share {
    const shares = this.#owners.get(owner) ?? new Map<string, Share>();
    this.#owners.set(owner, shares);
    const share = shares.get(service) ?? { runs: 0, most: 0, engineTime: 0 };
    shares.set(service, share);
    return share;
  }

  #cost(service: string): Cost {
    let cost = this.#costs.get(service);
    if (cost === undefined) {
      cost = {
        calls: 0,
        wasted: 0,
        refused: 0,
        engineTime: 0,
        wastedTime: 0,
        inputTokens: 0,
        cachedTokens: 0,
        outputTokens: 0,
      };
      this.#costs.set(service, cost);
    }
    return cost;
  }
}
