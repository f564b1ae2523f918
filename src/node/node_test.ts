import * as crypto from "node:crypto";
import * as fs from "node:fs";
import * as http from "node:http";
import type * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import test, { type ExecutionContext } from "ava";
import type * as schema from "../schema/settings_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as request from "../request/mod.ts";
import * as accounts from "./accounts.ts";
import * as node from "./mod.ts";
import * as table from "../control/table/mod.ts";

const TOKEN_HASH = crypto.createHash("sha256").update("crews-token")
  .digest("hex");

function createSettings(more: Partial<schema.Settings> = {}): schema.Settings {
  const host = { id: "a", dataCentre: "hall", address: "127.0.0.1", port: 0 };
  return {
    host: "a",
    fleet: { hosts: [host] },
    listen: { callers: { port: 0 }, operators: { port: 0 } },
    services: [{ name: "billing", kind: "plain", slots: 2 }],
    pipelines: [],
    table: [{
      row: "account/crews",
      cells: { weight: 2, tokenHash: TOKEN_HASH },
    }],
    operators: [{ name: "ines", token: { env: "INES" } }],
    endpointToken: { env: "ENDPOINT" },
    ...more,
  };
}

async function start(
  t: ExecutionContext,
  settings = createSettings(),
  options: Partial<node.Options> = {},
) {
  const host = await node.Node.start({
    ...options,
    settings,
    logger: telemetry.noLogger,
    environment: { INES: "ines-token", ENDPOINT: "endpoint-token" },
  });
  t.teardown(() => host.stop());
  await host.ready;
  return host;
}

/** Serves an endpoint that answers when `release` is called. */
async function serveBilling(t: ExecutionContext) {
  let release = () => {};
  let arrive = () => {};
  const arrived = new Promise<void>((resolve) => arrive = resolve);
  const server = http.createServer((incoming, response) => {
    incoming.resume();
    // This endpoint has no event stream.
    if (incoming.url === "/v1/events") {
      return void response.writeHead(404).end();
    }
    for (const name of ["x-request-id", "x-stage", "x-attempt"]) {
      response.setHeader(name, incoming.headers[name] ?? "");
    }
    release = () => response.end("paid");
    arrive();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => server.close());
  const { port } = server.address() as net.AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    arrived,
    release: () => release(),
  };
}

function announce(host: node.Node, url: string, change: object = {}) {
  const whole = { service: "billing", kind: "plain", url, dataCentre: "hall" };
  return fetch(`http://127.0.0.1:${host.callersPort}/v1/endpoints/b-1`, {
    method: "PUT",
    headers: { authorization: "Bearer endpoint-token" },
    body: JSON.stringify({ ...whole, ...change }),
  });
}

function callBilling(host: node.Node) {
  const url = `http://127.0.0.1:${host.callersPort}/v1/services/billing/pay`;
  return fetch(url, {
    method: "POST",
    headers: { authorization: "Bearer crews-token" },
  });
}

async function readOperatorPath(host: node.Node, path: string) {
  const url = `http://127.0.0.1:${host.operatorsPort}${path}`;
  const headers = { authorization: "Bearer ines-token" };
  return await (await fetch(url, { headers })).json();
}

test("a single host serves callers, endpoints and operators", async (t) => {
  const host = await start(t);
  const billing = await serveBilling(t);
  t.deepEqual(await (await announce(host, billing.url)).json(), {
    lease: 1500,
  });
  t.like(await readOperatorPath(host, "/v1/endpoints"), {
    endpoints: { 0: { id: "b-1", source: "announced", slots: 2 } },
  });
  const answer = callBilling(host);
  await billing.arrived;
  billing.release();
  t.is(await (await answer).text(), "paid");
  t.like(await readOperatorPath(host, "/v1/status"), {
    host: "a",
    state: "ready",
  });
});

// A leave notice may arrive after the endpoint has restarted and announced a
// higher incarnation.
test("a delayed leave of an old incarnation does not remove a new one", async (t) => {
  const host = await start(t);
  const url = "http://127.0.0.1:1";
  const leave = async (incarnation: number) => {
    const path = `/v1/endpoints/b-1?incarnation=${incarnation}`;
    const answer = await fetch(`http://127.0.0.1:${host.callersPort}${path}`, {
      method: "DELETE",
      headers: { authorization: "Bearer endpoint-token" },
    });
    t.is(answer.status, 200);
  };
  await announce(host, url, { incarnation: 1 });
  await announce(host, url, { incarnation: 2 });
  await leave(1);
  t.is(host.endpoints().length, 1);
  await leave(2);
  t.is(host.endpoints().length, 0);
});

test("an announcement with the wrong kind of service is rejected", async (t) => {
  const host = await start(t);
  const answer = await announce(host, "http://127.0.0.1:1", { kind: "engine" });
  t.is(answer.status, 400);
  t.deepEqual(host.endpoints(), []);
});

test("the request path sees the new generation of a restarted endpoint", async (t) => {
  const policySet = request.createBaselinePolicies();
  const generations = new Set<number | undefined>();
  policySet.choice.endpoints = (endpoints) => {
    for (const { generation } of endpoints) generations.add(generation);
  };
  const host = await start(t, createSettings(), { policySet });
  for (const incarnation of [4, 4, 5]) {
    await announce(host, "http://127.0.0.1:1", { incarnation });
  }
  t.deepEqual([...generations], [4, 5]);
});

test("a host uses the default policies", async (t) => {
  const host = await start(t);
  const dump = JSON.stringify(await readOperatorPath(host, "/v1/dump"));
  for (const part of ["gate", "backlog", "cost"]) {
    t.true(dump.includes(`"${part}":`), part);
  }
});

test("a drain finishes requests in flight and refuses new ones", async (t) => {
  const host = await start(t);
  const billing = await serveBilling(t);
  await announce(host, billing.url);
  const answer = callBilling(host);
  await billing.arrived;
  host.drain();
  t.is(host.status().state, "draining");
  t.is((await callBilling(host)).status, 503);
  const stopped = host.stop();
  billing.release();
  t.is(await (await answer).text(), "paid");
  await stopped;
});

test("a voter keeps its table across a restart", async (t) => {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "chicoryloft-"));
  t.teardown(() => fs.rmSync(folder, { recursive: true }));
  const settings = createSettings({ folder });
  settings.fleet.hosts[0].voter = true;
  const first = await start(t, settings);
  const version = first.table.view().cell("account/crews", "weight")!.version;
  const change = { row: "account/crews", column: "weight" as const };
  const result = await first.table.edit({
    operation: "1",
    actor: "ines",
    changes: [{ ...change, version, value: 7 }],
  });
  t.is(result.type, "accepted");
  await first.stop();
  const second = await start(t, settings);
  t.is(second.table.view().value("account/crews", "weight"), 7);
});

test("a dump contains all parts and no secrets", async (t) => {
  const host = await start(t);
  const dump = JSON.stringify(await readOperatorPath(host, "/v1/dump"));
  for (const part of ["metrics", "path", "control", "members", "endpoints"]) {
    t.true(dump.includes(`"${part}"`), part);
  }
  t.notRegex(dump, new RegExp(`${TOKEN_HASH}|-token`));
});

test("a host whose port is taken does not start", async (t) => {
  const { operatorsPort: port } = await start(t);
  const listen = { callers: { port: 0 }, operators: { port } };
  await t.throwsAsync(start(t, createSettings({ listen })), {
    code: "EADDRINUSE",
  });
});

test("a host without one of its secrets does not start", async (t) => {
  const settings = createSettings({ endpointToken: { env: "ELSEWHERE" } });
  await t.throwsAsync(start(t, settings), {
    message: "environment: /ELSEWHERE: found nothing, expected a secret",
  });
});

test("policies contain this host's share of each limit in the table", (t) => {
  const cells = { rate: 10, concurrency: 7, weight: 2 } as const;
  const changes = Object.entries(cells).map(([column, value]) => ({
    row: "account/crews",
    column: column as keyof typeof cells,
    version: 0,
    value,
  }));
  const { table: view } = table.Table.create().apply({
    operation: "1",
    actor: "ines",
    changes: changes as never,
  });
  const row = "account/crews";
  const rows = accounts.rowsOf(view);
  t.deepEqual(accounts.limitsOf(rows), [
    { row, column: "rate", limit: 10 },
    { row, column: "concurrency", limit: 7 },
  ]);
  const share: accounts.ShareOf = ({ column, limit }) =>
    column === "rate" ? limit / 4 : 3;
  const policy = accounts.policiesOf(rows, share).get(row);
  t.like(policy, { rate: 2.5, concurrency: 3, weight: 2 });
});

test("the version equals that of the package", (t) => {
  const { version } = JSON.parse(fs.readFileSync("package.json", "utf8"));
  t.is(node.VERSION, version);
});
