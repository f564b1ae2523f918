/** A system in this process: its hosts and its stand-ins.
 * @module */

import * as fs from "node:fs";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as url from "node:url";
import type * as runtime from "../../src/runtime/mod.ts";
import * as node from "../../src/node/mod.ts";
import type * as schema from "../../src/schema/experiment_types.ts";
import type * as hostSchema from "../../src/schema/settings_types.ts";
import * as secrets from "../../src/settings/secrets.ts";
import * as settings from "../../src/settings/mod.ts";
import * as telemetry from "../../src/telemetry/mod.ts";
import * as deployments from "../deployments.ts";
import * as fleet from "../fleet.ts";
import * as target from "./target.ts";

/** From the built module to the root of the project. */
const ROOT = "../../../";

/** Hosts that run. */
interface Hosts {
  /** Base URLs of the callers' ports. */
  urls: string[];
  stop(): Promise<void>;
}

/** What is embedded: the part of an experiment that is not load. */
export type System = Pick<
  schema.Experiment,
  "deployment" | "seed" | "hosts" | "engines"
>;

/** What a test puts in place of the usual parts. */
export interface Options {
  /** Makes the data folder of a host; files when absent. */
  createStorage?(): runtime.Storage;
}

/** Starts hosts with the sample settings of a deployment, and stand-ins. */
export async function start(
  experiment: System,
  options: Options = {},
): Promise<target.Target> {
  const loaded = load(experiment.deployment);
  const { hosts: count = 1 } = experiment;
  const hosts = await startHosts(loaded, { ...options, count });
  const standIns = createFleet(experiment, {
    hosts: hosts.urls,
    ...(loaded.endpointToken === undefined
      ? {}
      : { token: secrets.readSecret(loaded.endpointToken) }),
  });
  await standIns.start();
  return {
    hosts: hosts.urls,
    ledger: () => Promise.resolve(standIns.ledger.totals()),
    act: (fault) => target.act(standIns, fault),
    async stop() {
      await hosts.stop();
      await standIns.stop();
    },
  };
}

function createFleet(
  { deployment, engines = {}, seed }: System,
  options: { hosts: readonly string[]; token?: string },
): fleet.Fleet {
  const { cacheBlocks, gaps, ...speed } = engines;
  return new fleet.Fleet({
    deployment: deployments.deployments[deployment],
    ...options,
    ...(seed === undefined ? {} : { seed }),
    engine: {
      speed,
      ...(cacheBlocks === undefined ? {} : { cacheBlocks }),
      ...(gaps === undefined ? {} : { gaps }),
    },
  });
}

function load(deployment: string): hostSchema.Settings {
  const place = new URL(
    `${ROOT}examples/${deployment}/fleet.yaml`,
    import.meta.url,
  );
  return settings.load(url.fileURLToPath(place));
}

/** Starts the first hosts of a fleet on free ports of the loopback interface,
 * with data folders that go when they stop. */
async function startHosts(
  of: hostSchema.Settings,
  { count, createStorage }: Options & { count: number },
): Promise<Hosts> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "chicoryloft-"));
  const hosts = await Promise.all(
    of.fleet.hosts.slice(0, count).map(async (host) => ({
      ...host,
      port: await freePort(),
      listen: { callers: { port: 0 }, operators: { port: 0 } },
    })),
  );
  const [first, ...rest] = hosts;
  const nodes = await Promise.all(hosts.map(({ id, listen }) => {
    const { metrics: _metrics, ...others } = of;
    return node.Node.start({
      settings: {
        ...others,
        host: id,
        folder: path.join(folder, id),
        fleet: { ...of.fleet, hosts: [first, ...rest] },
        listen,
      },
      logger: telemetry.noLogger,
      storage: createStorage?.(),
    });
  }));
  await Promise.all(nodes.map(({ ready }) => ready));
  return {
    urls: nodes.map(({ callersPort }) => `http://127.0.0.1:${callersPort}`),
    async stop() {
      await Promise.all(nodes.map((each) => each.stop()));
      fs.rmSync(folder, { recursive: true });
    },
  };
}

/** A port that nobody listens on at this moment. */
async function freePort(): Promise<number> {
  const server = net.createServer();
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}
