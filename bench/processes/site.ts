/** Daemons of a deployment as real processes, with its stand-ins in this one.
 * @module */

import * as crypto from "node:crypto";
import * as runtime from "../../src/runtime/mod.ts";
import type * as schema from "../../src/schema/experiment_types.ts";
import * as loader from "../../src/settings/mod.ts";
import * as file from "../../standins/experiment/file.ts";
import * as run from "../../standins/experiment/run.ts";
import * as standIns from "../../standins/mod.ts";
import * as fleets from "./fleet.ts";
import type * as operator from "./operator.ts";
import * as witnesses from "./witness.ts";

/** Settings that the runs use. */
export const SETTINGS = "examples/kivu/fleet.yaml";

/** Where the mix of requests comes from. */
const EXPERIMENT = "examples/experiments/kivu-burst.yaml";
const NONCE_BYTES = 3;
/** Milliseconds past its deadline that a caller waits; longer than a pause. */
const PATIENCE = 10_000;

/** What a load on a site is made of. */
export interface Load {
  /** Milliseconds. */
  duration: number;
  /** Requests a second. */
  rate: number;
  mix: readonly schema.Entry[];
  seed: number;
  /** Base URLs of hosts, taken in turn; read at each try. */
  hosts?: readonly string[];
}

/** Six daemons, their stand-ins and a witness of all requests. */
export class Site {
  readonly fleet: fleets.Fleet;
  readonly standIns: standIns.Fleet;
  readonly witness: witnesses.Witness;
  readonly #clock = runtime.systemClock;

  private constructor(fleet: fleets.Fleet) {
    const { endpointToken } = fleet.settings;
    this.fleet = fleet;
    this.standIns = new standIns.Fleet({
      deployment: standIns.kivu,
      hosts: this.urls,
      token: loader.readSecret(endpointToken!),
    });
    this.witness = witnesses.Witness.create({
      tokens: tokens(),
      ledger: this.standIns.ledger,
      clock: this.#clock,
    });
  }

  /** A site that has not started; output of its daemons goes to `folder`. */
  static create(settings: string, folder: string): Site {
    return new Site(fleets.Fleet.create(settings, folder));
  }

  /** Base URLs of the callers' ports. */
  get urls(): string[] {
    return this.fleet.hosts.map((host) => this.fleet.callersUrl(host));
  }

  /** Clients of all operators' interfaces. */
  get operators(): operator.Operator[] {
    return this.fleet.hosts.map((host) => this.fleet.operator(host));
  }

  /** Starts the daemons, then the stand-ins. */
  async start(): Promise<void> {
    await this.fleet.startAll();
    await this.announce();
  }

  /** Starts the stand-ins; resolves when all hosts know them all. */
  async announce(): Promise<void> {
    await this.standIns.start();
    const all = this.standIns.select().length;
    await this.fleet.until(async () => {
      const counts = await Promise.all(this.operators.map(endpointsOf));
      return counts.every((count) => count === all);
    }, `all hosts know ${all} endpoints`);
  }

  /** Ends everything. */
  async stop(): Promise<void> {
    await this.witness.stop();
    await this.fleet.stop();
    await this.standIns.stop();
  }

  /** Sends open-loop load; resolves when every request has ended. */
  load(load: Load): Promise<readonly run.Outcome[]> {
    const { hosts = this.urls, mix, rate, duration, seed } = load;
    return new run.Run({
      experiment: {
        name: "processes",
        deployment: "kivu",
        seed,
        duration,
        patience: PATIENCE,
        arrivals: { rate },
        mix: [mix[0], ...mix.slice(1)],
      },
      target: {
        hosts,
        ledger: () => Promise.resolve(this.standIns.ledger.totals()),
        act: () => Promise.resolve(),
        stop: () => Promise.resolve(),
      },
      clock: this.#clock,
      nonce: crypto.randomBytes(NONCE_BYTES).toString("hex"),
      send: (planned, made) => this.witness.send(planned, made),
    }).execute();
  }
}

/** The mix of Kivu's callers. */
export function kivuMix(): readonly schema.Entry[] {
  mix ??= file.load(EXPERIMENT).mix;
  return mix;
}

let mix: readonly schema.Entry[] | undefined;

/** Writes a line of progress. */
export function tell(line: string): void {
  const seconds = (performance.now() / 1000).toFixed(1);
  process.stderr.write(`${seconds} s: ${line}\n`);
}

function tokens(): ReadonlyMap<string, string> {
  const accounts = kivuMix().map(({ account }) => account);
  return new Map(accounts.map((account) => [account, `sample-${account}`]));
}

async function endpointsOf(client: operator.Operator): Promise<number> {
  const { endpoints } = await client.status() as { endpoints: number };
  return endpoints;
}
