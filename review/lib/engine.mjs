// Stand-ins of engines, as the users' pages describe them: they register and
// send heartbeats, answer plain requests, streams and calls to make pieces, and
// keep what they have run.

import * as crypto from "node:crypto";
import * as http from "node:http";
import { setTimeout as sleep } from "node:timers/promises";

const HEARTBEAT_MS = 1000;

function readBody(request) {
  return new Promise((resolve) => {
    const parts = [];
    request.on("data", (part) => parts.push(part));
    request.on("end", () => resolve(Buffer.concat(parts)));
    request.on("error", () => resolve(undefined));
  });
}

/** What all engines of a run have made and run. */
export class Ledger {
  /** Maker's request, stage and piece, by handle. */
  handles = new Map();
  /** Requests that were run: id, engine, handles, time. */
  runs = [];
}

export class Engine {
  id = `i-${crypto.randomBytes(4).toString("hex")}`;
  sequence = 0;
  state = "ready";
  isBeating = true;
  #server;
  #timer;

  constructor({ fleet, record, ledger, service, zone = "one", ...options }) {
    Object.assign(this, { fleet, record, ledger, service, zone, options });
    this.slots = options.slots ?? 64;
  }

  static async start(options) {
    const engine = new Engine(options);
    await engine.#listen();
    await engine.beat();
    engine.#timer = setInterval(() => {
      if (engine.isBeating) void engine.beat();
    }, HEARTBEAT_MS);
    return engine;
  }

  async #listen() {
    this.#server = http.createServer((request, response) => {
      response.on("error", () => {});
      void this.#serve(request, response);
    });
    this.#server.keepAliveTimeout = 60_000;
    const host = `${this.fleet.net}.200`;
    await new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(0, host, resolve);
    });
    this.address = `${host}:${this.#server.address().port}`;
  }

  /** Sends a heartbeat; resolves with whether it was acknowledged. */
  async beat() {
    const { status } = await this.fleet.order(
      "POST",
      `/v1/instances/${this.id}/heartbeat`,
      {
        service: this.service,
        address: this.address,
        zone: this.zone,
        version: "v1",
        slots: this.slots,
        state: this.state,
        coldRemainingMs: 0,
        stage: "both",
        models: [{ name: "m", version: 1, adapters: [] }],
        sequence: ++this.sequence,
      },
      { first: this.sequence, within: 1000 },
    );
    return status === 200;
  }

  /** Stops its heartbeats and deregisters; resolves with the answer. */
  async deregister(options) {
    this.isBeating = false;
    return await this.fleet.order(
      "POST",
      `/v1/instances/${this.id}/deregister`,
      undefined,
      options,
    );
  }

  async stop() {
    clearInterval(this.#timer);
    this.isBeating = false;
    this.#server.closeAllConnections();
    await new Promise((resolve) => this.#server.close(resolve));
  }

  get #load() {
    return { "X-Instance-Id": this.id };
  }

  async #serve(request, response) {
    const body = await readBody(request);
    if (body === undefined) return;
    const { headers, method, url } = request;
    const expected = headers["x-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "X-Not-Executed": "1", ...this.#echo(headers) })
        .end();
      return;
    }
    if (method === "GET" && url === "/healthz") {
      const status = this.state === "ready" ? 200 : 503;
      response.writeHead(status, this.#load).end();
    } else if (url === "/v1/report") this.#report(response);
    else if (url === "/v1/stage-run") await this.#make(body, request, response);
    else if (url === "/v1/stage-free") this.#free(body, response);
    else if (headers["x-attempt-id"] === undefined) {
      response.writeHead(400, { "X-Not-Executed": "1" }).end();
    } else await this.#run(body, request, response);
  }

  #echo(headers) {
    const id = headers["x-attempt-id"];
    return id === undefined ? {} : { "X-Attempt-Id": id };
  }

  #report(response) {
    response.writeHead(200, { "Content-Type": "application/json" }).end(
      JSON.stringify({
        stage: "both",
        models: [{ name: "m", version: 1, adapters: [] }],
        busy: false,
        sequence: 0,
        waiting: 0,
        running: 0,
        kvUsed: 0,
        kvTotal: 500_000,
        handles: 0,
        freeMb: 100,
      }),
    );
  }

  #busy = 0;
  #queue = [];

  /** Takes one of `stageSlots` places, in turn; false if the queue is full. */
  async #enter() {
    const { stageSlots = 1, stageQueue = 2 } = this.options;
    if (this.#busy < stageSlots) {
      this.#busy++;
      return true;
    }
    if (this.#queue.length >= stageQueue) return false;
    await new Promise((resolve) => this.#queue.push(resolve));
    return true;
  }

  #leave() {
    const next = this.#queue.shift();
    if (next !== undefined) next();
    else this.#busy--;
  }

  async #make(body, request, response) {
    const { callMs = 150, itemMs = 10 } = this.options;
    const load = () => ({
      "X-Instance-Load": `${this.#busy},${this.#queue.length},1`,
    });
    if (!await this.#enter()) {
      response.writeHead(503, { "X-Not-Executed": "1", ...load() }).end();
      return;
    }
    const { items } = JSON.parse(body);
    await sleep(callMs + itemMs * items.length);
    const made = items.map(({ id, stage, piece, inputs = [] }) => {
      if (!inputs.every((each) => this.ledger.handles.has(each))) {
        return { reason: "gone" };
      }
      const name = crypto.randomBytes(6).toString("hex");
      const handle = `${this.address}/${name}`;
      this.ledger.handles.set(handle, { id, stage, piece, inputs });
      this.record.add(
        `${this.service} ${this.id} made stage ${stage} piece ${piece} of ` +
          `request ${id}: ${name}`,
      );
      return { handle };
    });
    this.#leave();
    const text = JSON.stringify({ items: made });
    const head = { "Content-Type": "application/json", ...load() };
    response.writeHead(200, {
      ...head,
      "Content-Length": Buffer.byteLength(text),
    }).end(text);
    this.options.onMade?.({ text, head, socket: request.socket });
  }

  #free(body, response) {
    for (const handle of JSON.parse(body).handles) {
      this.ledger.handles.delete(handle);
    }
    response.writeHead(200, { "Content-Type": "application/json" }).end("{}");
  }

  async #run(body, request, response) {
    const { headers, method, url } = request;
    const id = headers["x-attempt-id"];
    const echo = this.#echo(headers);
    const inputs = headers["x-inputs"]?.split(",").map((each) => each.trim());
    if (this.options.needsInputs) {
      const refuse = (status) =>
        response.writeHead(status, { "X-Not-Executed": "1", ...echo }).end();
      if (inputs === undefined) return refuse(400);
      if (!inputs.every((each) => this.ledger.handles.has(each))) {
        return refuse(409);
      }
    }
    const made = (inputs ?? []).map((each) => this.ledger.handles.get(each));
    const run = {
      id,
      engine: this.id,
      service: this.service,
      at: this.record.now,
      made,
      bytes: body.length,
    };
    this.ledger.runs.push(run);
    this.record.add(
      `${this.service} ${this.id} runs request ${id} (${method} ${url})` +
        made.map((each) => ` with a result of request ${each.id}`).join(""),
    );
    const head = {
      ...echo,
      "X-Response-Signature": `${this.id}.${id}`,
    };
    if (headers["x-model"] === undefined) {
      await sleep(this.options.workMs ?? 60);
      const text = `done ${id}`;
      response.writeHead(200, {
        ...head,
        "Content-Type": "text/plain",
        "Content-Length": Buffer.byteLength(text),
      }).end(text);
      return;
    }
    const { firstMs = 300, events = 5, pauseMs = 20 } = this.options;
    await sleep(firstMs);
    response.writeHead(200, { ...head, "Content-Type": "text/event-stream" });
    const start = Number(headers["last-event-id"] ?? 0);
    const about = made.map((each) => each.id).join();
    for (let number = start + 1; number <= events; number++) {
      if (response.destroyed) return;
      response.write(`id: ${number}\ndata: ${id} from ${about}\n\n`);
      await sleep(pauseMs);
    }
    response.end();
  }
}
