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

/** A single voter on a fake clock, with simulated engines. */
class Fixture {
  readonly clock = new runtime.FakeClock();
  readonly weights = new standins.WeightStore({
    clock: this.clock,
    rate: 2,
    burst: 1,
  });
  readonly engines: standins.Engine[] = [];
  readonly lines: Record<string, unknown>[] = [];
  host!: node.Node;

  static async start(t: ExecutionContext): Promise<Fixture> {
    const fixture = new Fixture();
    await fixture.weights.start();
    t.teardown(() => fixture.weights.stop());
    fixture.host = await node.Node.start({
      settings: createSettings(t),
      clock: fixture.clock,
      environment: { ENDPOINT: "endpoint-token" },
      logger: telemetry.createLogger({
        host: "a",
        destination: { write: (line) => fixture.lines.push(JSON.parse(line)) },
      }),
    });
    t.teardown(() => fixture.advanceUntilSettled(fixture.host.stop()));
    await fixture.advanceUntilSettled(fixture.host.ready);
    return fixture;
  }

  /** Advances the clock until `promise` is settled, and returns its value. */
  async advanceUntilSettled<T>(promise: Promise<T>): Promise<T> {
    let done = false;
    const settled = promise.finally(() => done = true);
    await this.advanceUntil(() => done);
    return await settled;
  }

  /** Advances the clock until `done` returns true; pending socket calls are
   * served between two steps. */
  async advanceUntil(done: () => boolean): Promise<void> {
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

  /** Edits the table so that the engines of a service load version 2 of a
   * model. */
  async requestModel(service: string): Promise<void> {
    const change = { row: `service/${service}`, version: 0 };
    await this.advanceUntilSettled(this.host.table.edit({
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

test("an edit of service rows loads models at the weight store's rate", async (t) => {
  const fixture = await Fixture.start(t);
  for (const service of SERVICES) {
    for (const fencing of ["checks", "ignores"] as const) {
      const engine = await fixture.addEngine(t, { service, fencing });
      await fixture.announce({ id: engine.id, body: engine.announcement() });
    }
    await fixture.requestModel(service);
  }
  await fixture.advanceUntil(() => fixture.engines.every(holds));
  const load = { type: "load", model: "hull", version: "2" };
  for (const { taken } of fixture.engines) {
    t.deepEqual(taken.map(({ order }) => order) as unknown[], [load]);
  }
  t.deepEqual(fixture.weights.counts, { served: 4, refused: 0 });
  const ordered = fixture.lines.filter(({ msg }) => msg === "engine ordered");
  t.is(ordered.length, 4);
  t.like(ordered[0], { operators: ["ines"], order: load });
});

test("an order whose response was lost is not repeated after it took effect", async (t) => {
  const fixture = await Fixture.start(t);
  const options = { service: "lm-pool", fencing: "ignores" } as const;
  const engine = await fixture.addEngine(t, options);
  const lossy = await startLossyProxy(t, engine.url);
  const body = { ...engine.announcement(), url: lossy.url };
  await fixture.announce({ id: engine.id, body });
  await fixture.requestModel("lm-pool");
  await fixture.advanceUntil(() => holds(engine) && lossy.readsAfterLoss() > 1);
  t.is(engine.taken.length, 1);
  const [ordered] = fixture.lines.filter(({ msg }) => msg === "engine ordered");
  t.like(ordered, { answer: { type: "lost" } });
});

/** Starts a proxy to an engine that drops the responses to orders. */
async function startLossyProxy(t: ExecutionContext, to: string) {
  let reads = 0;
  let lost = false;
  const server = http.createServer(async (incoming, response) => {
    const { method, url } = incoming;
    // The proxy buffers whole responses, so it cannot forward event streams.
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
