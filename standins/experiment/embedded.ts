/** A system of one host in this process, with its stand-ins.
 * @module */

import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as url from "node:url";
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

/** Starts a host with the sample settings of a deployment, and stand-ins. */
export async function start(
  { deployment, engines = {}, seed }: schema.Experiment,
): Promise<target.Target> {
  const { cacheBlocks, gaps, ...speed } = engines;
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "chicoryloft-"));
  const loaded = alone(load(deployment), folder);
  const host = await node.Node.start({
    settings: loaded,
    logger: telemetry.noLogger,
  });
  await host.ready;
  const hosts = [`http://127.0.0.1:${host.callersPort}`];
  const { endpointToken } = loaded;
  const standIns = new fleet.Fleet({
    deployment: deployments.deployments[deployment],
    hosts,
    ...(endpointToken === undefined
      ? {}
      : { token: secrets.readSecret(endpointToken) }),
    ...(seed === undefined ? {} : { seed }),
    engine: {
      speed,
      ...(cacheBlocks === undefined ? {} : { cacheBlocks }),
      ...(gaps === undefined ? {} : { gaps }),
    },
  });
  await standIns.start();
  return {
    hosts,
    ledger: () => Promise.resolve(standIns.ledger.totals()),
    act: (fault) => target.act(standIns, fault),
    async stop() {
      await host.stop();
      await standIns.stop();
      fs.rmSync(folder, { recursive: true });
    },
  };
}

function load(deployment: string): hostSchema.Settings {
  const place = new URL(
    `${ROOT}examples/${deployment}/fleet.yaml`,
    import.meta.url,
  );
  return settings.load(url.fileURLToPath(place));
}

/** The same settings for a fleet of one host, which votes. */
function alone(
  of: hostSchema.Settings,
  folder: string,
): hostSchema.Settings {
  const { id, dataCentre, address } = of.fleet.hosts
    .find((host) => host.id === of.host)!;
  const { metrics: _metrics, ...rest } = of;
  return {
    ...rest,
    folder,
    fleet: { hosts: [{ id, dataCentre, address, port: 0, voter: true }] },
    listen: { callers: { port: 0 }, operators: { port: 0 } },
  };
}
