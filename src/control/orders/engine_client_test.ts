import test from "ava";
import * as http from "node:http";
import type * as net from "node:net";
import * as runtime from "../../runtime/mod.ts";
import * as telemetry from "../../telemetry/mod.ts";
import * as table from "../table/mod.ts";
import * as orders from "./mod.ts";

const REPORT = { models: [], role: "both", loading: false, token: 9 };

/** Starts an HTTP server of an engine that records the complete orders that it
 * receives. */
async function listen(status: number) {
  const taken: string[] = [];
  const server = http.createServer((request, response) => {
    let text = "";
    request.on("data", (chunk) => text += chunk);
    request.on("end", () => {
      if (request.method === "POST") taken.push(text);
      response.writeHead(request.method === "POST" ? status : 200);
      response.end(JSON.stringify(REPORT));
    });
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const { port } = server.address() as net.AddressInfo;
  const url = `http://127.0.0.1:${port}`;
  const close = () => {
    server.closeAllConnections();
    server.close();
  };
  return { engine: { id: "e0", service: "lm", url }, taken, close };
}

const LOAD = { order: { type: "load" as const, model: "m" } };

test("a client reads reports and sends orders over HTTP", async (t) => {
  const { engine, taken, close } = await listen(202);
  const client = orders.EngineClient.create({ holdsLease: () => true });
  t.like(await client.readReport(engine), { models: [], token: 9 });
  t.deepEqual(await client.sendOrder(engine, 3, LOAD), { type: "accepted" });
  t.deepEqual(taken.map((text) => JSON.parse(text)), [{ token: 3, ...LOAD }]);
  close();
});

test("an order is not sent once the lease has ended", async (t) => {
  const { engine, taken, close } = await listen(202);
  const client = orders.EngineClient.create({ holdsLease: () => false });
  t.deepEqual(await client.sendOrder(engine, 3, LOAD), { type: "unsent" });
  t.deepEqual(taken, []);
  close();
});

test("a refusal by fencing token is distinguished from a lost answer", async (t) => {
  const client = orders.EngineClient.create({ holdsLease: () => true });
  const fenced = await listen(409);
  const answer = await client.sendOrder(fenced.engine, 3, LOAD);
  t.deepEqual(answer, { type: "fenced", token: 9 });
  fenced.close();
  const broken = await listen(500);
  t.deepEqual(await client.sendOrder(broken.engine, 3, LOAD), { type: "lost" });
  broken.close();
  t.is(await client.readReport(broken.engine), undefined);
});

// Guards against an order that is taken for refused or accepted, as its engine
// answers with a status that HTTP does not define.
test("an answer with an invalid status is a lost one", async (t) => {
  const client = orders.EngineClient.create({ holdsLease: () => true });
  for (const status of ["000", "099", "600", "999"]) {
    const body = JSON.stringify(REPORT);
    const server = http.createServer(({ socket }) =>
      void socket.write(
        `HTTP/1.1 ${status} Odd\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
      )
    );
    await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
    const { port } = server.address() as net.AddressInfo;
    const url = `http://127.0.0.1:${port}`;
    const engine = { id: "e0", service: "lm", url };
    const answer = await client.sendOrder(engine, 3, LOAD);
    t.deepEqual(answer, { type: "lost" }, status);
    t.is(await client.readReport(engine), undefined, status);
    server.closeAllConnections();
    server.close();
  }
});

test("a reconciler sends orders only while it holds the lease", async (t) => {
  const { engine, taken, close } = await listen(202);
  const clock = new runtime.FakeClock();
  let lease: orders.Lease | undefined = { token: 3, since: 0, until: 1e9 };
  const reconciler = orders.Reconciler.create({
    clock,
    logger: telemetry.noLogger,
    limits: { loadsPerSecond: 2, leaseMs: 3000 },
    lease: () => lease,
  });
  reconciler.setTable(createTable());
  reconciler.setEngines([{ ...engine, fencing: "checks" }]);
  reconciler.start();
  const calling = () => /"call":/.test(JSON.stringify(reconciler.dump()));
  const move = async () => {
    clock.advance(100);
    while (calling()) await new Promise((done) => setTimeout(done, 5));
  };
  while (taken.length < 2) await move();
  t.like(JSON.parse(taken[0]), { token: 3, order: { type: "load" } });
  lease = undefined;
  for (let pos = 0; pos < 100; pos++) await move();
  t.is(taken.length, 2);
  reconciler.stop();
  close();
});

function createTable(): table.Table {
  const change = { row: "service/lm", version: 0 };
  return table.Table.create().apply({
    operation: "a",
    actor: "an",
    changes: [
      { ...change, column: "model", value: "m" },
      { ...change, column: "role", value: "decode" },
    ],
  }).table;
}
