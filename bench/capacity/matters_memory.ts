/** Slopes of what an entry host keeps, and of its shares of limits.
 * @module */

import * as estimate from "../../src/admission/stage_time_estimator.ts";
import * as fairQueue from "../../src/admission/fair_queue.ts";
import * as fakeFleet from "../../src/membership/fake_fleet.ts";
import * as runtime from "../../src/runtime/mod.ts";
import * as fakeShares from "../../src/shares/fake_host.ts";
import type * as limits from "../../src/shares/limit.ts";
import * as fixture from "../routing/fixture.ts";
import * as gauge from "./gauge.ts";
import * as processes from "./processes.ts";
import type * as slope from "./slope.ts";

const GROUPS = [500, 1500, 3500, 5500];
const PROMPTS = [50, 150, 400];
const RECORDS = [50, 200, 800];
const FLOWS = [1000, 3000, 7500];
const ROWS = [10, 50, 250];
const HOSTS = [6, 50, 150, 390];
const ANNOUNCED = [0, 200, 400, 800];
/** Prompts of 40 blocks that fill the bound of 16,384 blocks. */
const MOST_PROMPTS = 410;
const SETTLE = 10_000;
const SECOND = 1000;
const ROWS_IN_USE = 40;
const MB = 1e6;

const copies: slope.Matter[] = [
  {
    role: "entry host",
    name: "memory of routing",
    per: "endpoints",
    unit: "MB",
    target: 5500,
    reason: "every host routes to all engines",
    mechanism: "all of small services; subsets past 128 endpoints of one",
    budget: 64,
    measure: () =>
      Promise.resolve(GROUPS.map((size) => {
        return { size, value: gauge.weigh(() => fixture.group(size)) / MB };
      })),
  },
  {
    role: "entry host",
    name: "memory of believed prefixes",
    per: "prompts of 40 blocks, one service",
    unit: "MB",
    target: MOST_PROMPTS,
    reason: "the bound of 16,384 blocks a service",
    mechanism: "a bound on blocks; the oldest go first",
    budget: 64,
    measure: () =>
      Promise.resolve(PROMPTS.map((size) => {
        return { size, value: gauge.weigh(() => believe(size)) / MB };
      })),
  },
  {
    role: "entry host",
    name: "memory of learnt stage times",
    per: "stages of services",
    unit: "MB",
    target: 144,
    reason: "24 pipelines of six stages",
    mechanism: "one record of fits a stage, whatever the accounts",
    budget: 64,
    measure: () =>
      Promise.resolve(RECORDS.map((size) => {
        return { size, value: gauge.weigh(() => learn(size)) / MB };
      })),
  },
  {
    role: "entry host",
    name: "memory of the fair queue",
    per: "flows with one item each",
    unit: "MB",
    target: 2500 * 3,
    reason: "2,500 accounts with 3 kinds, all waiting at one host",
    mechanism: "a flow exists only while something of it waits",
    budget: 64,
    measure: () =>
      Promise.resolve(FLOWS.map((size) => {
        return { size, value: gauge.weigh(() => queue(size)) / MB };
      })),
  },
  {
    role: "entry host",
    name: "resident memory of a daemon",
    per: "endpoints announced",
    unit: "MB",
    target: 5500,
    reason: "one process of one host, no requests",
    mechanism: "Node and the libraries; garbage of announcements with it",
    budget: 64,
    measure: () => processes.weighDaemons(ANNOUNCED),
  },
];

function believe(prompts: number): unknown {
  const group = fixture.group(12);
  for (let family = 0; family < prompts; family++) {
    const prompt = fixture.prompt(family, family);
    group.prefixIndex.recordPrompt(`engine-${family % 12}`, prompt, 1);
  }
  return group;
}

function learn(stages: number): estimate.StageTimeEstimator {
  const times = estimate.StageTimeEstimator.create();
  for (let pos = 0; pos < stages; pos++) {
    const work = {
      service: `service-${pos % 24}`,
      stage: `stage-${pos}`,
      size: 100,
      maxTokens: 64,
    };
    times.observe(work, { time: 100, outputTokens: 10 });
    times.observeSize(work, 100);
  }
  return times;
}

function queue(flows: number): fairQueue.FairQueue {
  const waiting = fairQueue.FairQueue.create();
  for (let pos = 0; pos < flows; pos++) {
    waiting.push({
      id: `request-${pos}`,
      account: `account-${pos % 2500}`,
      kind: `kind-${Math.floor(pos / 2500)}`,
      arrived: pos,
      deadline: 9000,
      expires: 9000,
      work: 100,
    });
  }
  return waiting;
}

/** Hosts of which the first leads and all ask for a part of `rows` limits. */
function shareOut(
  hosts: number,
  rows: number,
): fakeFleet.FakeFleet<fakeShares.FakeHost> {
  const random = runtime.createRandom(1);
  const fleet = new fakeFleet.FakeFleet<fakeShares.FakeHost>(random, false);
  const all: limits.Limit[] = Array.from({ length: rows }, (_, pos) => {
    return { row: `account/a${pos}`, column: "rate", limit: 100 };
  });
  for (let pos = 0; pos < hosts; pos++) {
    const host = new fakeShares.FakeHost({ limits: all, hosts, seed: pos });
    fleet.start(`h${pos}`, host);
  }
  const lead = { type: "lead" as const, term: 1, until: 3_600_000 };
  fleet.call("h0", (host, now) => host.allocate(lead, now));
  for (const id of fleet.ids) {
    const allocator = { type: "allocator" as const, host: "h0", term: 1 };
    fleet.call(id, (host, now) => host.hold(allocator, now));
  }
  ask(fleet, all, SETTLE);
  fleet.traffic.clear();
  ask(fleet, all, SETTLE);
  return fleet;
}

/** Lets time pass, in which each host asks for a new rate of one in four of
 * its limits each second. */
function ask(
  fleet: fakeFleet.FakeFleet<fakeShares.FakeHost>,
  all: readonly limits.Limit[],
  ms: number,
): void {
  const random = runtime.createRandom(all.length);
  for (let passed = 0; passed < ms; passed += SECOND) {
    for (const host of fleet.programs) {
      const before = host.demands;
      host.demands = all.map(({ row, column }, pos) => {
        const fresh = before.length === 0 || random.below(4) === 0;
        const demand = fresh ? random.below(6) : before[pos].demand;
        return { row, column, demand };
      });
    }
    fleet.run(SECOND);
  }
}

const shares: slope.Matter[] = [
  {
    role: "entry host",
    name: "bytes of shares by rows",
    per: "limits in use at a host",
    unit: "bytes/s",
    target: ROWS_IN_USE,
    reason: "an assumed part of 5,000 limits, a quarter changes a second",
    mechanism: "one report and one grant a second, changed rows only",
    budget: 3000,
    measure: () =>
      Promise.resolve(ROWS.map((size) => {
        const fleet = shareOut(6, size);
        const value = fleet.traffic.get("h5")!.bytes / (SETTLE / SECOND);
        return { size, value };
      })),
  },
  {
    role: "voter",
    name: "bytes the allocator of shares sends",
    per: "hosts with 40 limits in use each",
    unit: "bytes/s",
    target: 390,
    reason: "all hosts",
    mechanism: "one grant a second to each host",
    measure: () =>
      Promise.resolve(HOSTS.map((size) => {
        const fleet = shareOut(size, ROWS_IN_USE);
        const value = fleet.traffic.get("h0")!.bytes / (SETTLE / SECOND);
        return { size, value };
      })),
  },
  {
    role: "voter",
    name: "processor time of the allocator of shares",
    per: "hosts with 40 limits in use each",
    unit: "% of a core",
    target: 390,
    reason: "all hosts; the cost of the hosts' side is in it",
    mechanism: "one division a limit and second",
    async measure() {
      const points: slope.Point[] = [];
      for (const size of HOSTS) {
        const spent = await gauge.cpu(() => shareOut(size, ROWS_IN_USE));
        points.push({ size, value: spent / (2 * SETTLE) * 100 });
      }
      return points;
    },
  },
];

/** Every slope of memory and of shares. */
export const all: readonly slope.Matter[] = [...copies, ...shares];
