/** One host and the stand-ins of a deployment, all in this process.
 * @module */

import * as path from "node:path";
import * as node from "../src/node/mod.ts";
import type * as schema from "../src/schema/settings_types.ts";
import * as settings from "../src/settings/mod.ts";
import * as telemetry from "../src/telemetry/mod.ts";
import * as fleets from "./fleet.ts";

/** What an embedded system is made from. */
export interface Options extends Omit<fleets.Options, "hosts" | "token"> {
  /** Decisions of the request path; its own when absent. */
  policySet?: node.Options["policySet"];
}

/** A whole system on ports that the machine chooses. */
export class Embedded {
  readonly host: node.Node;
  readonly fleet: fleets.Fleet;

  private constructor(host: node.Node, fleet: fleets.Fleet) {
    this.host = host;
    this.fleet = fleet;
  }

  /** Starts host and stand-ins; resolves once all endpoints are known. */
  static async start(options: Options): Promise<Embedded> {
    const { deployment: { name }, policySet } = options;
    const own = alone(settings.load(path.join("examples", name, "fleet.yaml")));
    const logger = telemetry.noLogger;
    const host = await node.Node.start({ settings: own, logger, policySet });
    await host.ready;
    const token = settings.readSecret(own.endpointToken!);
    const hosts = [`http://127.0.0.1:${host.callersPort}`];
    const fleet = new fleets.Fleet({ ...options, hosts, token });
    await fleet.start();
    return new Embedded(host, fleet);
  }

  /** Base URL towards callers. */
  get url(): string {
    return `http://127.0.0.1:${this.host.callersPort}`;
  }

  /** Ends both. */
  async stop(): Promise<void> {
    await this.fleet.stop();
    await this.host.stop();
  }
}

/** Settings of a fleet cut down to one host without a disk. */
function alone(of: schema.Settings): schema.Settings {
  const port = 0;
  const self = of.fleet.hosts.find(({ id }) => id === of.host)!;
  const { listen: _, ...host } = { ...self, port, voter: false };
  const listen = { callers: { port }, operators: { port } };
  return { ...of, folder: undefined, fleet: { hosts: [host] }, listen };
}
