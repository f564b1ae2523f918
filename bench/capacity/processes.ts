/** One real daemon on loopback, for what a process keeps resident.
 * @module */

import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as net from "node:net";
import * as undici from "undici";
import * as daemon from "../processes/daemon.ts";
import type * as slope from "./slope.ts";

const TOKEN = "sample";
const AT_ONCE = 50;
const READY = 20_000;
const LOOK = 100;
/** Milliseconds after the last announcement until memory is read. */
const REST = 2000;
const BYTES_PER_MB = 1e6;

/** Resident memory, in MB, of a daemon that `sizes` endpoints announce
 * themselves to. */
export async function weighDaemons(
  sizes: readonly number[],
): Promise<slope.Point[]> {
  const points: slope.Point[] = [];
  for (const size of sizes) points.push({ size, value: await weigh(size) });
  return points;
}

async function weigh(size: number): Promise<number> {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "capacity-"));
  const [callers, operators, peers] = await freePorts(3);
  const file = path.join(folder, "settings.yaml");
  fs.writeFileSync(file, settingsOf({ callers, operators, peers }));
  const started = daemon.Daemon.start({
    settings: file,
    host: "one",
    env: { PATH: process.env.PATH ?? "", ENDPOINTS: TOKEN },
    log: path.join(folder, "log"),
  });
  try {
    const url = `http://127.0.0.1:${callers}`;
    await untilReady(url);
    for (let pos = 0; pos < size; pos += AT_ONCE) {
      const length = Math.min(AT_ONCE, size - pos);
      await Promise.all(
        Array.from({ length }, (_, next) => announce(url, pos + next)),
      );
    }
    await pause(REST);
    return started.usage().resident / BYTES_PER_MB;
  } finally {
    started.signal("SIGKILL");
    await started.ended();
    fs.rmSync(folder, { recursive: true });
  }
}

interface Ports {
  callers: number;
  operators: number;
  peers: number;
}

function settingsOf({ callers, operators, peers }: Ports): string {
  return `host: one
fleet:
  hosts:
    - { id: one, dataCentre: here, address: 127.0.0.1, port: ${peers} }
listen:
  callers: { port: ${callers} }
  operators: { port: ${operators} }
endpointToken: { env: ENDPOINTS }
services:
  - { name: model, kind: engine, model: m, slots: 8 }
pipelines: []
`;
}

async function announce(url: string, pos: number): Promise<void> {
  const { statusCode, body } = await undici.request(
    `${url}/v1/endpoints/engine-${pos}`,
    {
      method: "PUT",
      headers: {
        authorization: `Bearer ${TOKEN}`,
        "content-type": "application/json",
      },
      // Nothing listens there, and nothing is sent there either.
      body: JSON.stringify({
        service: "model",
        kind: "engine",
        url: `http://127.0.0.1:${9 + pos % 2}/engine-${pos}`,
        dataCentre: "here",
        slots: 64,
        models: ["m"],
      }),
    },
  );
  const text = await body.text();
  if (statusCode !== 200) throw new Error(`Not announced: ${text}`);
}

async function untilReady(url: string): Promise<void> {
  const end = performance.now() + READY;
  while (!await isReady(url)) {
    if (performance.now() > end) throw new Error("The daemon is not ready");
    await pause(LOOK);
  }
}

async function isReady(url: string): Promise<boolean> {
  try {
    const { statusCode, body } = await undici.request(`${url}/health`);
    await body.dump();
    return statusCode === 200;
  } catch {
    return false;
  }
}

async function freePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => net.createServer());
  const ports: number[] = [];
  for (const server of servers) {
    await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
    ports.push((server.address() as net.AddressInfo).port);
  }
  servers.forEach((server) => server.close());
  return ports;
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
