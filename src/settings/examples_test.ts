import * as crypto from "node:crypto";
import test from "ava";
import type * as schema from "../schema/settings_types.ts";
import * as table from "../control/table/mod.ts";
import * as settings from "./mod.ts";

const deployments = ["kivu", "tran-gia"];

function load(deployment: string, host?: string): schema.Settings {
  return settings.load(`examples/${deployment}/fleet.yaml`, { host });
}

function allHosts(deployment: string): schema.Settings[] {
  const { fleet } = load(deployment);
  return fleet.hosts.map(({ id }) => load(deployment, id));
}

for (const deployment of deployments) {
  test(`the example ${deployment} loads as each of its six hosts`, (t) => {
    const hosts = allHosts(deployment);
    t.is(hosts.length, 6);
    const ports = hosts.flatMap(({ host, listen, fleet }) => [
      listen.callers.port,
      listen.operators.port,
      fleet.hosts.find(({ id }) => id === host)!.port,
    ]);
    t.is(new Set(ports).size, 18);
    t.is(new Set(hosts.map(({ folder }) => folder)).size, 6);
  });

  test(`all secrets of the example ${deployment} can be read`, (t) => {
    const { fleet, operators, endpointToken } = load(deployment);
    t.is(settings.readSecret(fleet.key!), `sample-${deployment}-fleet`);
    t.is(settings.readSecret(endpointToken!), `sample-${deployment}-endpoint`);
    for (const { name, token } of operators!) {
      t.is(settings.readSecret(token), `sample-${deployment}-${name}`);
    }
  });

  test(`the example ${deployment} creates accounts with known tokens`, (t) => {
    let current = table.Table.create();
    for (const edit of settings.initialEdits(load(deployment).table)) {
      const applied = current.apply(edit);
      t.is(applied.answer.type, "accepted");
      current = applied.table;
    }
    const accounts = current.rows("account/");
    t.is(accounts.length, 5);
    for (const { row, cells } of accounts) {
      const token = `sample-${row.slice("account/".length)}`;
      const hash = crypto.createHash("sha256").update(token).digest("hex");
      t.is(cells.tokenHash?.value, hash);
    }
  });
}
