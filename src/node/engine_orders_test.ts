import * as fs from "node:fs";
import * as http from "node:http";
import type * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import test, { type ExecutionContext } from "ava";
import * as standins from "../../standins/mod.ts";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/settings_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as node from "./mod.ts";

const SERVICES = ["lm-pool", "course-model"];

/** One voter on a clock that is moved by hand, with engines beside it. */
class Bench {
  readonly clock = new runtime.FakeClock();
  readonly weights = new standins.WeightStore({
    clock: this.clock,
    rate: 2,
    burst: 1,
  });
  readonly engines: standins.Engine[] = [];
  readonly lines: Record<string, unknown>[] = [];
  host!: node.Node;

  static async start(t: ExecutionContext): Promise<Bench> {
    const bench = new Bench();
    await bench.weights.start();
    t.teardown(() => bench.weights.stop());
    bench.host = await node.Node.start({
      settings: createSettings(t),
      clock: bench.clock,
      environment: { ENDPOINT: "endpoint-token" },
      logger: telemetry.createLogger({
        host: "a",
        destination: { write: (line) => bench.lines.push(JSON.parse(line)) },
      }),
    });
    t.teardown(() => bench.until(bench.host.stop()));
    await bench.until(bench.host.ready);
    return bench;
  }

  /** Lets time pass until `promise` is settled. */
  async until<T>(promise: Promise<T>): Promise<T> {
    let done = false;
    const settled = promise.finally(() => done = true);
    await this.pass(() => done);
    return await settled;
  }

  /** Lets time pass until `done`; calls over sockets end on the way. */
  async pass(done: () => boolean): Promise<void> {
    while (!done()) {
      this.clock.advance(10);
      await new Promise((resolve) => setTimeout(resolve, 1));
    }
  }

  async addEngine(
    t: ExecutionContext,
    options: { service: string; fencing: "checks" | "ignores" },
  ): Promise<standins.Engine> {
    const engine = new standins.Engine({
      ...options,
      id: `e-${this.engines.length}`,
      dataCentre: "hall",
      ledger: new standins.ledger.Ledger(),
      clock: this.clock,
      seed: 1,
      weights: this.weights.url,
    });
    this.engines.push(engine);
    await engine.start();
    t.teardown(() => engine.stop());
    return engine;
  }

  async announce({ id, ...engine }: { id: string; body: object }) {
    const url = `http://127.0.0.1:${this.host.callersPort}/v1/endpoints/${id}`;
    const headers = { authorization: "Bearer endpoint-token" };
    const body = JSON.stringify(engine.body);
    const answer = await fetch(url, { method: "PUT", headers, body });
    await answer.text();
  }

  /** Asks for version 2 of a model on the engines of a service. */
  async ask(service: string): Promise<void> {
    const change = { row: `service/${service}`, version: 0 };
    await this.until(this.host.table.edit({
      operation: service,
      actor: "ines",
      changes: [
        { ...change, column: "model", value: "hull" },
        { ...change, column: "version", value: "2" },
      ],
    }));
  }
}

function createSettings(t: ExecutionContext): schema.Settings {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "chicoryloft-"));
  t.teardown(() => fs.rmSync(folder, { recursive: true }));
  const self = { id: "a", dataCentre: "hall", address: "127.0.0.1", port: 0 };
  return {
    host: "a",
    folder,
    fleet: { hosts: [{ ...self, voter: true }] },
    listen: { callers: { port: 0 }, operators: { port: 0 } },
    services: [
      { name: "lm-pool", kind: "engine" },
      { name: "course-model", kind: "engine" },
    ],
    pipelines: [],
    endpointToken: { env: "ENDPOINT" },
    limits: { loadRate: 1, endpointLease: 3_600_000 },
  };
}

function holds({ holding }: standins.Engine): boolean {
  return holding.models.some(({ model, version }) =>
    model === "hull" && version === "2"
  );
}

test("an edit of service rows loads engines at the weight store's pace", async (t) => {
  const bench = await Bench.start(t);
  for (const service of SERVICES) {
    for (const fencing of ["checks", "ignores"] as const) {
      const engine = await bench.addEngine(t, { service, fencing });
      await bench.announce({ id: engine.id, body: engine.announcement() });
    }
    await bench.ask(service);
  }
  await bench.pass(() => bench.engines.every(holds));
  const load = { type: "load", model: "hull", version: "2" };
  for (const { taken } of bench.engines) {
    t.deepEqual(taken.map(({ order }) => order) as unknown[], [load]);
  }
  t.deepEqual(bench.weights.counts, { served: 4, refused: 0 });
  const ordered = bench.lines.filter(({ msg }) => msg === "engine ordered");
  t.is(ordered.length, 4);
  t.like(ordered[0], { operators: ["ines"], order: load });
});

test("an order whose answer was lost is not repeated once it was carried out", async (t) => {
  const bench = await Bench.start(t);
  const options = { service: "lm-pool", fencing: "ignores" } as const;
  const engine = await bench.addEngine(t, options);
  const lossy = await forward(t, engine.url);
  const body = { ...engine.announcement(), url: lossy.url };
  await bench.announce({ id: engine.id, body });
  await bench.ask("lm-pool");
  await bench.pass(() => holds(engine) && lossy.readsAfterLoss() > 1);
  t.is(engine.taken.length, 1);
  const [ordered] = bench.lines.filter(({ msg }) => msg === "engine ordered");
  t.like(ordered, { answer: { type: "lost" } });
});

/** Passes calls on, and keeps the answers to orders. */
async function forward(t: ExecutionContext, to: string) {
  let reads = 0;
  let lost = false;
  const server = http.createServer(async (incoming, response) => {
    const { method, url } = incoming;
    // No events: a stream without end can't be passed on as a whole.
    if (url === "/v1/events") return void response.writeHead(404).end();
    const chunks: Buffer[] = [];
    for await (const chunk of incoming) chunks.push(chunk);
    const body = method === "POST" ? Buffer.concat(chunks) : undefined;
    const answer = await fetch(`${to}${url}`, { method, body });
    const text = await answer.text();
    if (method === "POST") {
      lost = true;
      response.destroy();
    } else {
      if (lost) reads++;
      response.end(text);
    }
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as net.AddressInfo;
  return { url: `http://127.0.0.1:${port}`, readsAfterLoss: () => reads };
}
