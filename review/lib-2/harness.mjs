// A small deployment on loopback for the scripts of this review: the project's
// own programs as processes with the commands of the deploy file, and small
// stand-ins of clients, servers and the platform. It needs no build.

import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as url from "node:url";

/** Root of the repository. */
export const ROOT = path.resolve(
  path.dirname(url.fileURLToPath(import.meta.url)),
  "../..",
);

/** Whether the case plays its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

export const sleep = (ms) => new Promise((done) => setTimeout(done, ms));

/** What happened, written to `record.txt` in the folder of a case. */
export class Record {
  constructor(folder) {
    this.file = path.join(folder, "record.txt");
    this.started = performance.now();
    fs.writeFileSync(this.file, "");
  }

  add(text) {
    const at = ((performance.now() - this.started) / 1000).toFixed(3);
    fs.appendFileSync(this.file, `${at.padStart(8)} ${text}\n`);
  }
}

/** The command of a role in the deploy file, split at spaces. */
function commandOf(role) {
  const text = fs.readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8");
  const section = text.split(`[roles.${role}]`)[1];
  return /run = "([^"]+)"/.exec(section)[1].split(" ");
}

const ZONES = ["zone-a", "zone-b", "zone-c"];

/** Bounds of the small deployments of the users' pages. */
const BOUNDS = {
  seedLagS: 3,
  reuseAfterS: 2,
  contactMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  maxStretchMs: 5000,
  strictRevoke: true,
  revokeMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  retryBurst: 52,
  recoveryS: 12,
  passMs: 120,
  reuseWindowS: 10,
};

const CONTRACTS = [
  "base",
  "drain",
  "config",
  "cost",
  "retry",
  "recover",
  "engine",
  "stream",
  "tenants",
  "stages",
];

function isFree(ip, port) {
  return new Promise((done) => {
    const server = net.createServer();
    server.once("error", () => done(false));
    server.listen(port, ip, () => server.close(() => done(true)));
  });
}

/** A deployment: core machines and front machines, each with an address. */
export class Fleet {
  constructor(record) {
    this.record = record;
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
    this.processes = new Map();
    this.cores = [];
    this.fronts = [];
    this.engines = [];
    this.logs = new Map();
  }

  /** Chooses addresses and ports that nothing else uses. */
  static async create(record, { cores = 3, fronts = 1 } = {}) {
    const fleet = new Fleet(record);
    for (;;) {
      fleet.net = `127.${20 + Math.floor(Math.random() * 200)}.${
        1 + Math.floor(Math.random() * 250)
      }`;
      fleet.port = 20_000 + 20 * Math.floor(Math.random() * 500);
      const ips = [
        ...Array.from({ length: cores }, (_, number) => fleet.ip(10 + number)),
        ...Array.from({ length: fronts }, (_, number) => fleet.ip(50 + number)),
      ];
      const free = await Promise.all(ips.flatMap((ip) => [
        isFree(ip, 9464),
        ...Array.from({ length: 8 }, (_, number) =>
          isFree(ip, fleet.port + number)),
      ]));
      if (!free.every((each) => each)) continue;
      fleet.cores = ips.slice(0, cores);
      fleet.fronts = ips.slice(cores);
      return fleet;
    }
  }

  ip(number) {
    return `${this.net}.${number}`;
  }

  get controlPort() {
    return this.port + 4;
  }

  get frontPort() {
    return this.port + 5;
  }

  get readyPort() {
    return this.port + 6;
  }

  settings(ip, { isFirst, change = {} }) {
    const isCore = this.cores.includes(ip);
    const number = (isCore ? this.cores : this.fronts).indexOf(ip);
    const seeds = this.cores.slice(0, 3).map((core) =>
      `${core}:${this.controlPort}`
    );
    return {
      node: isCore ? `core-${number}` : `front-${number}`,
      role: isCore ? "control" : "entry",
      machineClass: isCore ? "core" : "front",
      serves: isCore ? ["control"] : ["front"],
      ip,
      zone: ZONES[number % 3],
      region: "region-1",
      zones: Object.fromEntries(ZONES.map((zone) => [zone, "region-1"])),
      listen: isCore ? { control: `${ip}:${this.controlPort}` } : {
        front: `${ip}:${this.frontPort}`,
        ready: `${ip}:${this.readyPort}`,
      },
      portRange: [this.port, this.port + 3],
      seeds,
      bootstrap: isFirst,
      countsAsLoss: isCore,
      limits: isCore
        ? {
          cpuShare: 0.405,
          cores: 1,
          memoryMb: 346,
          maxFds: 4096,
          linkMbps: 1000,
          diskMb: 128,
        }
        : {
          cpuShare: 0.675,
          cores: 1,
          memoryMb: 350,
          maxFds: 4100,
          linkMbps: 1000,
          diskMb: 0,
        },
      dataDir: isCore ? path.join(this.folder, `disk-${number}`) : null,
      discovery: "registry",
      entry: "vip",
      heartbeatMs: 1200,
      contracts: CONTRACTS,
      tolerate: { machines: 1, zones: 0, regions: 0 },
      bounds: BOUNDS,
      configMode: "highest",
      ...change,
    };
  }

  /** Starts the program of a machine. */
  start(ip, { isFirst = false, change } = {}) {
    const isCore = this.cores.includes(ip);
    const file = path.join(this.folder, `${ip}.json`);
    const settings = this.settings(ip, { isFirst, change });
    if (isCore) fs.mkdirSync(settings.dataDir, { recursive: true });
    fs.writeFileSync(file, JSON.stringify(settings));
    const [program, ...words] = commandOf(isCore ? "control" : "entry");
    const { PATH, HOME, LANG } = process.env;
    const started = childProcess.spawn(program, words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, CHICORYLOFT_CONFIG: file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const lines = this.logs.get(ip) ?? [];
    this.logs.set(ip, lines);
    started.stdout.on("data", (part) => lines.push(`${part}`));
    started.stderr.on("data", (part) => lines.push(`${part}`));
    started.once("exit", (code, signal) => {
      started.hasEnded = true;
      this.record.add(`process of ${ip} ended: code ${code}, ${signal}`);
    });
    this.processes.set(ip, started);
    this.record.add(`process of ${ip} started, pid ${started.pid}`);
  }

  log(ip) {
    return (this.logs.get(ip) ?? []).join("");
  }

  signal(ip, signal) {
    this.record.add(`${signal} to ${ip}`);
    this.processes.get(ip).kill(signal);
  }

  /** Sends SIGKILL; resolves once the process is gone. */
  async kill(ip) {
    const ending = this.processes.get(ip);
    if (ending.hasEnded) return;
    const ended = new Promise((done) => ending.once("exit", done));
    this.signal(ip, "SIGKILL");
    await ended;
  }

  /** Starts all machines for the first time, with a configuration and servers;
   * resolves with whether all fronts are ready. */
  async found(configuration) {
    for (const ip of this.cores) this.start(ip, { isFirst: true });
    for (const ip of this.fronts) this.start(ip, { isFirst: true });
    const end = performance.now() + 30_000;
    while (performance.now() < end) {
      const { status } = await this.order(
        "POST",
        "/v1/config/replace",
        configuration,
      );
      if (status === 200) break;
      await sleep(200);
    }
    this.beating = setInterval(() => this.beat(), 1200);
    this.beat();
    return await this.untilReady();
  }

  async untilReady(ips = this.fronts, limitMs = 30_000) {
    const end = performance.now() + limitMs;
    while (performance.now() < end) {
      const ready = await Promise.all(ips.map((ip) => this.isReady(ip)));
      if (ready.every((each) => each)) return true;
      await sleep(100);
    }
    return false;
  }

  async isReady(ip) {
    const { status } = await call({
      host: ip,
      port: this.readyPort,
      method: "GET",
      path: "/v1/readiness",
    });
    return status === 200;
  }

  /** One call of the operator or a server, at one core machine or at each in
   * turn until one takes it. */
  async order(method, target, content, only) {
    const body = content === undefined
      ? undefined
      : typeof content === "string"
      ? content
      : JSON.stringify(content);
    let last = { status: 0 };
    for (const host of only ? [only] : this.cores) {
      last = await call({
        host,
        port: this.controlPort,
        method,
        path: target,
        body,
      });
      if (last.status >= 200 && last.status < 500) return last;
    }
    return last;
  }

  /** Sends the heartbeats of all servers that run. */
  beat() {
    for (const engine of this.engines) {
      if (engine.isUp) void this.report(engine);
    }
  }

  report(engine, state = engine.state) {
    engine.sequence++;
    return this.order("POST", `/v1/instances/${engine.id}/heartbeat`, {
      service: engine.service,
      address: engine.address,
      zone: ZONES[0],
      version: "v1",
      slots: engine.slots,
      state,
      coldRemainingMs: 0,
      sequence: engine.sequence,
    });
  }

  /** Ends all processes at once and removes the folder. */
  abandon() {
    for (const each of this.processes.values()) each.kill("SIGKILL");
    for (const { process: own } of this.engines) own?.kill("SIGKILL");
    fs.rmSync(this.folder, { recursive: true, force: true });
  }

  /** Ends all processes and removes the folder. */
  async stop() {
    clearInterval(this.beating);
    await Promise.all(
      [...this.processes].map(async ([ip, each]) => {
        if (each.hasEnded) return;
        const ended = new Promise((done) => each.once("exit", done));
        each.kill("SIGCONT");
        await this.kill(ip);
        await ended;
      }),
    );
    for (const engine of this.engines) await engine.stop();
    fs.rmSync(this.folder, { recursive: true, force: true });
  }
}

/** A call with a whole answer; status 0 without one within a second. */
export function call({ host, port, method, path: target, headers, body }) {
  return new Promise((done) => {
    const request = http.request({
      host,
      port,
      method,
      path: target,
      headers: {
        ...headers,
        ...(body !== undefined && { "content-length": Buffer.byteLength(body) }),
      },
      agent: false,
      timeout: 1000,
    }, (response) => {
      const parts = [];
      response.on("data", (part) => parts.push(part));
      response.on("error", () => done({ status: 0, text: "" }));
      response.on("end", () =>
        done({
          status: response.statusCode,
          headers: response.headers,
          text: Buffer.concat(parts).toString(),
        }));
    });
    request.on("timeout", () => request.destroy(new Error("timeout")));
    request.on("error", () => done({ status: 0, text: "" }));
    request.end(body);
  });
}

/** A configuration with a route of each kind, as the users' pages show it. */
export function configuration(version, change = {}) {
  const route = {
    hostname: "app.example",
    timeoutMs: 8000,
    targetLatencyMs: 1000,
    priority: 0,
    maxAttempts: 2,
    public: false,
    sessionAffinity: false,
    streamResume: false,
  };
  return {
    version,
    routes: [
      {
        ...route,
        name: "safe",
        pathPrefix: "/safe/",
        kind: "safe",
        service: "desk",
      },
      {
        ...route,
        name: "unsafe",
        pathPrefix: "/unsafe/",
        kind: "unsafe",
        service: "desk",
        maxAttempts: 1,
      },
      {
        ...route,
        name: "stream",
        pathPrefix: "/stream/",
        kind: "streaming",
        service: "desk",
        streamResume: true,
        gapAimMs: 200,
      },
    ],
    services: [
      {
        name: "desk",
        healthPath: "/healthz",
        maxConnections: 96,
        protocol: "h1",
        tls: false,
      },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    tenants: [{ name: "club", apiKeys: ["key-1"], priority: 1 }],
    ...change,
  };
}

/** A server: `serve` gets each request with its whole body. */
export class Engine {
  constructor({ id, service = "desk", slots = 6, serve }) {
    Object.assign(this, { id, service, slots, serve });
    this.sequence = 0;
    this.state = "ready";
    this.isUp = false;
    this.sockets = new Set();
  }

  static async start(fleet, options) {
    const engine = new Engine(options);
    engine.server = http.createServer((request, response) => {
      const parts = [];
      request.on("data", (part) => parts.push(part));
      request.on("error", () => {});
      response.on("error", () => {});
      request.on("end", () => {
        const expected = request.headers["x-expect-instance"];
        if (expected !== undefined && expected !== engine.id) {
          response.writeHead(421, { "X-Not-Executed": "1" }).end();
          return;
        }
        engine.serve({ request, response, body: Buffer.concat(parts), engine });
      });
    });
    engine.server.keepAliveTimeout = 20_000;
    engine.server.on("connection", (socket) => {
      engine.sockets.add(socket);
      socket.on("error", () => {});
      socket.once("close", () => engine.sockets.delete(socket));
    });
    const ip = options.ip ?? fleet.ip(200);
    await new Promise((done) =>
      engine.server.listen(options.port ?? 0, ip, done)
    );
    engine.address = `${ip}:${engine.server.address().port}`;
    engine.isUp = true;
    fleet.engines.push(engine);
    return engine;
  }

  async stop() {
    if (!this.isUp) return;
    this.isUp = false;
    for (const socket of this.sockets) socket.destroy();
    await new Promise((done) => this.server.close(() => done()));
  }
}

/** Headers of an answer to a request that has run. */
export function signed(request) {
  return {
    "X-Attempt-Id": request.headers["x-attempt-id"],
    "X-Response-Signature": `signed.${request.headers["x-attempt-id"]}`,
  };
}

/** Sends one request on a connection of its own, and judges the answer by its
 * bytes alone. `read` is called with the socket for each part that is read and may
 * pause it. Resolves with status, headers, body, whether HTTP/1.1 takes the answer
 * for whole, and how the connection ended. */
export function ask(
  { host, port, method = "POST", path: target, headers = {}, body = "" },
  { limitMs = 20_000, onPart = () => {}, onSocket = () => {} } = {},
) {
  return new Promise((done) => {
    const socket = net.connect({ host, port });
    const parts = [];
    let end = "none";
    const finish = () => {
      clearTimeout(timer);
      socket.destroy();
      done(judge(Buffer.concat(parts), end));
    };
    const timer = setTimeout(finish, limitMs);
    onSocket(socket);
    const lines = Object.entries({
      Host: "app.example",
      "X-Credential": "key-1",
      ...(body.length > 0 || method === "POST"
        ? { "Content-Length": Buffer.byteLength(body) }
        : {}),
      ...headers,
    }).map(([name, value]) => `${name}: ${value}\r\n`);
    socket.write(`${method} ${target} HTTP/1.1\r\n${lines.join("")}\r\n`);
    socket.write(body);
    socket.on("data", (part) => {
      parts.push(part);
      onPart(socket, part);
      if (judge(Buffer.concat(parts), "none", true).isWhole) finish();
    });
    socket.on("end", () => {
      end = "closed";
      finish();
    });
    socket.on("error", (error) => {
      end = error.code;
      finish();
    });
  });
}

/** Reads an answer; `end` says how its connection ended so far. */
export function judge(bytes, end, isQuick = false) {
  const split = bytes.indexOf("\r\n\r\n");
  if (split < 0) {
    return { status: 0, headers: {}, body: "", isWhole: false, end };
  }
  const [line, ...rest] = bytes.subarray(0, split).toString("latin1")
    .split("\r\n");
  const headers = Object.fromEntries(rest.map((each) => {
    const colon = each.indexOf(":");
    return [each.slice(0, colon).toLowerCase(), each.slice(colon + 1).trim()];
  }));
  const status = Number(line.split(" ")[1]);
  let body = bytes.subarray(split + 4);
  const about = { status, headers, end };
  if (headers["transfer-encoding"] === "chunked") {
    const read = unchunk(body);
    return { ...about, framing: "chunked", ...read };
  }
  if (headers["content-length"] !== undefined) {
    const length = Number(headers["content-length"]);
    const isWhole = body.length >= length;
    body = body.subarray(0, length);
    return { ...about, framing: "length", body: text(body, isQuick), isWhole };
  }
  return {
    ...about,
    framing: "connection",
    body: text(body, isQuick),
    isWhole: end === "closed",
  };
}

function text(body, isQuick) {
  return isQuick ? "" : body.toString("latin1");
}

function unchunk(bytes) {
  const parts = [];
  let from = 0;
  for (;;) {
    const line = bytes.indexOf("\r\n", from);
    if (line < 0) break;
    const size = parseInt(bytes.subarray(from, line).toString("latin1"), 16);
    const start = line + 2;
    if (size === 0) {
      const isWhole = bytes.indexOf("\r\n", start) >= 0;
      return { body: Buffer.concat(parts).toString("latin1"), isWhole };
    }
    parts.push(bytes.subarray(start, start + size));
    if (bytes.length < start + size + 2) break;
    from = start + size + 2;
  }
  return { body: Buffer.concat(parts).toString("latin1"), isWhole: false };
}

/** Runs a case: `play` resolves with the breaks that it saw, as lines. The exit
 * code is 1 if there are any, 0 if there are none, and 2 if it couldn't run. */
export async function run(folder, play) {
  const record = new Record(folder);
  record.add(`trouble: ${HAS_TROUBLE}`);
  const giveUp = (reason) => {
    record.add(`could not run: ${reason}`);
    for (const fleet of fleets) fleet.abandon();
    process.exit(2);
  };
  const limit = setTimeout(() => giveUp("it took over 115 seconds"), 115_000);
  for (const signal of ["SIGINT", "SIGTERM"]) {
    process.once(signal, () => giveUp(signal));
  }
  let code = 2;
  try {
    const breaks = await play(record);
    breaks.forEach((each) => record.add(`BROKEN: ${each}`));
    record.add(breaks.length > 0 ? "the rule was broken" : "the rule held");
    code = breaks.length > 0 ? 1 : 0;
  } catch (error) {
    record.add(`could not run: ${error.stack ?? error}`);
  }
  for (const each of fleets) await each.stop().catch(() => {});
  clearTimeout(limit);
  process.exit(code);
}

const fleets = [];

/** Creates a fleet that `run` ends. */
export async function fleet(record, options) {
  const created = await Fleet.create(record, options);
  fleets.push(created);
  return created;
}
