import * as fs from "node:fs";
import * as path from "node:path";
import test from "ava";
import * as settings from "../../src/settings/mod.ts";
import * as deployments from "../deployments.ts";
import * as file from "./file.ts";

const FOLDER = "examples/experiments";

function names(): string[] {
  return fs.readdirSync(FOLDER).filter((name) => name.endsWith(".yaml"));
}

for (const name of names()) {
  test(`${name} fits the sample settings of its deployment`, (t) => {
    const { deployment, mix, faults } = file.load(path.join(FOLDER, name));
    const loaded = settings.load(`examples/${deployment}/fleet.yaml`);
    const rows = new Set(loaded.table?.map(({ row }) => row));
    const pipelines = loaded.pipelines.map(({ name }) => name);
    const services = loaded.services.map(({ name }) => name);
    for (const { account, kind, call, maxTokens = 0 } of mix) {
      t.true(rows.has(`account/${account}`), account);
      t.true(rows.has(`kind/${kind}`), kind);
      if (call.type === "service") {
        t.true(services.includes(call.service), call.service);
        continue;
      }
      t.true(pipelines.includes(call.pipeline), call.pipeline);
      const { stages } = loaded.pipelines
        .find(({ name }) => name === call.pipeline)!;
      t.true(maxTokens <= stages[stages.length - 1].maxTokens!, call.pipeline);
    }
    for (const { service, endpoint } of faults ?? []) {
      t.true(service === undefined || services.includes(service));
      t.true(endpoint === undefined || services.includes(stem(endpoint)));
    }
  });
}

function stem(endpoint: string): string {
  return endpoint.replace(/-\d+$/, "");
}

for (const deployment of Object.values(deployments.deployments)) {
  test(`stand-ins of ${deployment.name} match its sample settings`, (t) => {
    const loaded = settings.load(`examples/${deployment.name}/fleet.yaml`);
    const played = deployment.services.map(({ name, kind }) => ({
      name,
      kind,
    }));
    const named = loaded.services.map(({ name, kind }) => ({ name, kind }));
    t.deepEqual(played, named);
    const places = new Set(
      loaded.fleet.hosts.map(({ dataCentre }) => dataCentre),
    );
    t.deepEqual(deployment.dataCentres, [...places]);
  });
}
