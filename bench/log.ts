/** Commits a second, their latency and CPU on a real disk, CPU of an idle log,
 * recovery with and without a snapshot, bytes of an idle log and of a commit,
 * time of a failover.
 * @module */

import * as fs from "node:fs/promises";
import * as path from "node:path";
import * as log from "../src/control/log/mod.ts";
import * as storage from "../src/storage/mod.ts";
import * as failovers from "./log_failover.ts";
import * as fleets from "./log_fleet.ts";
import type * as result from "./result.ts";

const NUMBERS_OF_REPLICAS = [1, 3];
const CLIENTS = 64;
const ALONE = 300;
const TOGETHER = 6400;

/** Milliseconds over which the CPU of idle replicas is counted. */
const IDLE = 5_000;
const RECORDS = 20_000;
const RECORDS_A_WRITE = 10;

// Ratios of two rates of a disk that others use too vary by half from run to
// run: they have bounds, but are not compared with an earlier run.

/** The measurement as `bench/main.ts` runs it. */
export const measurement: result.Measurement = {
  title: "commits, recovery and bytes of the replicated log",
  run,
};

async function run(): Promise<result.Result[]> {
  const results: result.Result[] = [];
  for (const count of NUMBERS_OF_REPLICAS) {
    results.push(...await inFolder((folder) => measureCommits(folder, count)));
  }
  results.push(...await inFolder(measureRecovery));
  results.push(...await fleets.countBytes());
  results.push(...await failovers.measureFailover());
  return results;
}

async function measureCommits(
  folder: string,
  count: number,
): Promise<result.Result[]> {
  const fleet = await fleets.startFleet(folder, count);
  const idle = await measureIdle();
  const alone = await propose(fleet, { clients: 1, commands: ALONE });
  const together = await propose(fleet, {
    clients: CLIENTS,
    commands: TOGETHER,
  });
  await fleet.stop();
  const name = `log/${count} replicas`;
  return [
    time(`${name}/one client`, "commits/s", alone.rate),
    time(`${name}/one client p50`, "ms", alone.median),
    time(`${name}/one client p99`, "ms", alone.late),
    time(`${name}/${CLIENTS} clients`, "commits/s", together.rate),
    time(`${name}/${CLIENTS} clients p50`, "ms", together.median),
    time(`${name}/${CLIENTS} clients p99`, "ms", together.late),
    time(`${name}/idle CPU of each`, "ms/s", idle / count),
    time(`${name}/one client CPU of all`, "ms/commit", alone.cpu),
    time(`${name}/${CLIENTS} clients CPU of all`, "ms/commit", together.cpu),
    {
      name: `${name}/group commit of one by one`,
      unit: "times",
      kind: "time",
      value: together.rate / alone.rate,
      bound: { least: 4 },
    },
    {
      name: `${name}/${CLIENTS} clients commits per write`,
      unit: "ratio",
      kind: "speed",
      value: together.perWrite,
      bound: { least: 10 },
    },
  ];
}

/** Milliseconds of CPU that the process takes in an idle second. */
async function measureIdle(): Promise<number> {
  const start = performance.now();
  const used = process.cpuUsage();
  await new Promise((resolve) => setTimeout(resolve, IDLE));
  return millisecondsOf(used) / (performance.now() - start) * 1000;
}

/** CPU of the process since `before`. */
function millisecondsOf(before: NodeJS.CpuUsage): number {
  const { user, system } = process.cpuUsage(before);
  return (user + system) / 1000;
}

interface Load {
  clients: number;
  commands: number;
}

interface Pace {
  rate: number;
  median: number;
  late: number;
  /** Milliseconds of CPU for each commit, clients included. */
  cpu: number;
  /** Commits for each write of the leader to its disk. */
  perWrite: number;
}

async function propose(fleet: fleets.Fleet, load: Load): Promise<Pace> {
  const { leader } = fleet;
  const times: number[] = [];
  const { writes } = leader.counters;
  const used = process.cpuUsage();
  const start = performance.now();
  const client = async () => {
    for (let pos = 0; pos < load.commands / load.clients; pos++) {
      const since = performance.now();
      await leader.propose(fleets.createCommand(times.length));
      times.push(performance.now() - since);
    }
  };
  await Promise.all(Array.from({ length: load.clients }, client));
  const seconds = (performance.now() - start) / 1000;
  const cpu = millisecondsOf(used) / times.length;
  times.sort((a, b) => a - b);
  return {
    rate: times.length / seconds,
    median: times[Math.floor(times.length * 0.5)],
    late: times[Math.floor(times.length * 0.99)],
    cpu,
    perWrite: times.length / (leader.counters.writes - writes),
  };
}

async function measureRecovery(folder: string): Promise<result.Result[]> {
  const long = await timeRecovery(path.join(folder, "long"), false);
  const short = await timeRecovery(path.join(folder, "short"), true);
  return [
    time(`log/recovery/${RECORDS} entries`, "ms", long),
    time("log/recovery/snapshot", "ms", short),
    {
      name: "log/recovery/snapshot of all entries",
      unit: "times",
      kind: "time",
      value: short / long,
      bound: { most: 0.5 },
    },
  ];
}

async function timeRecovery(
  folder: string,
  withSnapshot: boolean,
): Promise<number> {
  await writeRecords(folder, withSnapshot);
  const disk = await storage.FileStorage.open(folder);
  const start = performance.now();
  const runner = await log.Runner.start(fleets.createOptions(disk));
  while (runner.index < RECORDS) await new Promise(setImmediate);
  // The wait for an election is the same in both.
  const wait = runner.counters.commits === 0 ? 0 : fleets.ELECTION;
  const elapsed = performance.now() - start - wait;
  runner.stop();
  await disk.close();
  return Math.max(elapsed, 0.1);
}

async function writeRecords(
  folder: string,
  withSnapshot: boolean,
): Promise<void> {
  const disk = await storage.FileStorage.open(folder);
  const options = { host: "a", incarnation: "1" };
  const journal = await log.Journal.open(disk, options);
  const members = { voters: ["a~1"], learners: [] };
  await journal.write([
    { type: "vote", term: 1, vote: "a~1" },
    { type: "entries", entries: [{ index: 1, term: 1, members }] },
  ]);
  for (let first = 2; first <= RECORDS; first += RECORDS_A_WRITE) {
    const entries = Array.from({ length: RECORDS_A_WRITE }, (_, pos) => ({
      index: first + pos,
      term: 1,
      command: fleets.createCommand(first + pos),
    }));
    const last = entries.filter(({ index }) => index <= RECORDS);
    await journal.write([{ type: "entries", entries: last }]);
  }
  if (withSnapshot) {
    const position = { index: RECORDS, term: 1 };
    const data = JSON.stringify({ count: RECORDS - 1 });
    const snapshot = { position, members, data };
    await journal.write([
      { type: "snapshot", snapshot, entries: [], term: 1, vote: "a~1" },
    ]);
  }
  await disk.close();
}

function time(name: string, unit: string, value: number): result.Result {
  return { name, unit, value, kind: "time" };
}

/** Runs with a folder on the disk of the build, which is removed after. */
async function inFolder<T>(action: (folder: string) => Promise<T>): Promise<T> {
  const folder = await fs.mkdtemp(path.join(process.cwd(), "dist", "log-"));
  try {
    return await action(folder);
  } finally {
    await fs.rm(folder, { recursive: true });
  }
}
