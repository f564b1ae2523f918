// A small deployment on loopback: the programs of the deploy file as separate
// processes, with settings as the platform writes them.

import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import { setTimeout as sleep } from "node:timers/promises";

const ROOT = path.resolve(import.meta.dirname, "../..");
const ZONES = ["one", "two", "three"];
const METRICS_PORT = 9464;

/** The bounds of the small sites of the users' pages. */
export const BOUNDS = {
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

/** Command of a role, as the deploy file has it. */
function commandOf(role) {
  const text = fs.readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8");
  const section = text.split(`[roles.${role}]`)[1].split("\n[")[0];
  return /^run = "(.*)"$/m.exec(section)[1].split(" ");
}

/** Makes a call; resolves with status 0 where no whole answer comes. */
export function call(
  { host, port, method = "GET", path: target, headers = {}, body = "" },
  { timeout = 1000 } = {},
) {
  return new Promise((resolve) => {
    const request = http.request({
      host,
      port,
      method,
      path: target,
      headers: { ...headers, "Content-Length": Buffer.byteLength(body) },
      agent: false,
    });
    const end = (answer) => {
      clearTimeout(timer);
      resolve(answer);
      request.destroy();
    };
    const timer = setTimeout(
      () => end({ status: 0, error: "timeout", headers: {}, text: "" }),
      timeout,
    );
    request.on("error", (error) =>
      end({ status: 0, error: error.code, headers: {}, text: "" }));
    request.on("response", (response) => {
      const parts = [];
      response.on("data", (part) => parts.push(part));
      response.on("error", () => {});
      response.on("close", () =>
        end({
          status: response.complete ? response.statusCode : 0,
          error: response.complete ? undefined : "broken off",
          began: response.statusCode,
          headers: response.headers,
          text: Buffer.concat(parts).toString(),
        }));
    });
    request.end(body);
  });
}

function isFree(host, port) {
  return new Promise((resolve) => {
    const server = net.createServer();
    server.once("error", () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** The processes of one run, and their settings. */
export class Fleet {
  folder = fs.mkdtempSync(path.join(os.tmpdir(), "review-"));
  control = [];
  entry = [];
  #processes = new Map();
  #settings = new Map();

  /** Picks loopback addresses and free ports. */
  static async create({ control, entry, memoryMb = 350 }) {
    const fleet = new Fleet();
    for (let tries = 0;; tries++) {
      if (tries === 50) throw new Error("no free ports");
      const net2 = 64 + Math.floor(120 * Math.random());
      const net3 = Math.floor(250 * Math.random());
      const base = 10_000 + 8 * Math.floor(1200 * Math.random());
      const hosts = Array.from(
        { length: control + entry },
        (_, number) => `127.${net2}.${net3}.${number + 1}`,
      );
      const free = await Promise.all(hosts.flatMap((host) =>
        [...[0, 1, 2, 3, 4].map((each) => base + each), METRICS_PORT]
          .map((port) => isFree(host, port))
      ));
      if (!free.every((each) => each)) continue;
      fleet.net = `127.${net2}.${net3}`;
      fleet.base = base;
      fleet.control = hosts.slice(0, control);
      fleet.entry = hosts.slice(control);
      break;
    }
    fleet.memoryMb = memoryMb;
    return fleet;
  }

  get controlPort() {
    return this.base + 2;
  }

  get frontPort() {
    return this.base + 3;
  }

  get readyPort() {
    return this.base + 4;
  }

  /** Starts a process; `isFirst` only when the system starts for the first
   * time. */
  start(host, { isFirst = false } = {}) {
    const isControl = this.control.includes(host);
    const role = isControl ? "control" : "entry";
    const number = Number(host.split(".")[3]) - 1;
    const zone = ZONES[number % ZONES.length];
    const seeds = this.control.slice(0, 3)
      .map((seed) => `${seed}:${this.controlPort}`);
    const dataDir = path.join(this.folder, `data-${host}`);
    if (isControl) fs.mkdirSync(dataDir, { recursive: true });
    const settings = {
      node: `${role}-${zone}-${number + 1}`,
      role,
      machineClass: isControl ? "core" : "front",
      serves: [isControl ? "control" : "front"],
      ip: host,
      zone,
      region: "region",
      zones: Object.fromEntries(ZONES.map((each) => [each, "region"])),
      listen: isControl ? { control: `${host}:${this.controlPort}` } : {
        front: `${host}:${this.frontPort}`,
        ready: `${host}:${this.readyPort}`,
      },
      portRange: [this.base, this.base + 1],
      seeds,
      bootstrap: isFirst,
      countsAsLoss: isControl,
      limits: {
        cpuShare: 0.675,
        cores: 1,
        memoryMb: this.memoryMb,
        maxFds: 4100,
        linkMbps: 1000,
        diskMb: isControl ? 128 : 0,
      },
      dataDir: isControl ? dataDir : null,
      discovery: "registry",
      entry: "vip",
      heartbeatMs: 1200,
      contracts: [
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
      ],
      tolerate: { machines: 1, zones: 0, regions: 0 },
      bounds: BOUNDS,
      configMode: "highest",
    };
    const file = path.join(this.folder, `${host}.json`);
    fs.writeFileSync(file, JSON.stringify(settings));
    const [, ...words] = commandOf(role);
    const log = fs.openSync(path.join(this.folder, `${host}.log`), "a");
    const { PATH, HOME, LANG } = process.env;
    const child = childProcess.spawn(process.execPath, words, {
      cwd: ROOT,
      stdio: ["ignore", log, log],
      env: { PATH, HOME, LANG, CHICORYLOFT_CONFIG: file },
    });
    fs.closeSync(log);
    child.ended = new Promise((resolve) => child.once("exit", resolve));
    this.#processes.set(host, child);
  }

  startAll() {
    for (const host of [...this.control, ...this.entry]) {
      this.start(host, { isFirst: true });
    }
  }

  pid(host) {
    return this.#processes.get(host).pid;
  }

  isRunning(host) {
    const child = this.#processes.get(host);
    return child.exitCode === null && child.signalCode === null;
  }

  signal(host, signal) {
    this.#processes.get(host).kill(signal);
  }

  /** Kills processes at the same moment. */
  async kill(...hosts) {
    for (const host of hosts) this.signal(host, "SIGKILL");
    await Promise.all(hosts.map((host) => this.#processes.get(host).ended));
  }

  log(host) {
    return fs.readFileSync(path.join(this.folder, `${host}.log`), "utf8");
  }

  /** An operator's or an engine's call: tries control hosts in turn until one
   * gives a 2xx or 4xx answer. */
  async order(method, target, content, { first = 0, within = 20_000 } = {}) {
    const body = content === undefined ? "" : JSON.stringify(content);
    const end = Date.now() + within;
    for (let turn = first; Date.now() < end; turn++) {
      const host = this.control[turn % this.control.length];
      const answer = await call({
        host,
        port: this.controlPort,
        method,
        path: target,
        headers: { "Content-Type": "application/json" },
        body,
      });
      const { status } = answer;
      const isClear = status >= 200 && status < 500 && status !== 408 &&
        status !== 429;
      if (isClear) return { ...answer, host };
      await sleep(100);
    }
    return { status: 0, text: "", headers: {} };
  }

  async isReady(host) {
    const answer = await call({
      host,
      port: this.readyPort,
      path: "/v1/readiness",
    });
    return answer.status === 200;
  }

  /** Sum of a metric of an entry host over its labels. */
  async metric(host, name) {
    const { text } = await call({ host, port: METRICS_PORT, path: "/metrics" });
    return text.split("\n")
      .filter((line) => line.startsWith(name) && !line.startsWith("#"))
      .reduce((sum, line) => sum + Number(line.split(" ").at(-1)), 0);
  }

  /** Ends all processes and removes their files. */
  async stop() {
    const running = [...this.#processes.keys()].filter((host) =>
      this.isRunning(host)
    );
    for (const host of running) this.signal(host, "SIGCONT");
    await this.kill(...running);
    if (process.env.KEEP === undefined) {
      fs.rmSync(this.folder, { recursive: true, force: true });
    } else console.log(`kept: ${this.folder}`);
  }
}

/** Waits until something holds; false after `within` milliseconds. */
export async function until(holds, within = 20_000) {
  const end = Date.now() + within;
  while (Date.now() < end) {
    if (await holds()) return true;
    await sleep(50);
  }
  return false;
}
