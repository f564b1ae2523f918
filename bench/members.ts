/** Cost of membership and registry at fleets of growing size, on virtual time:
 * bytes are those of the JSON envelopes, processor time is that of all hosts
 * in one process divided by their number.
 * @module */

import * as fleets from "./members/fleet.ts";
import * as memory from "./members/memory.ts";
import * as shares from "./members/shares.ts";
import type * as result from "./result.ts";

/** Hosts of the fleets, and endpoints before each host. */
const SIZES = [6, 50, 150, 390];
const SHARE_SIZES = [6, 50];
/** Fleets that are asked by all accounts of the target. */
const ACCOUNT_SIZES = [6, 50];
const ENDPOINTS_PER_HOST = 2;
/** Seconds of each window. */
const IDLE = 20;
const CHURN = 30;
/** Restarts of hosts, and of endpoints, within the churn window. */
const RESTARTS = 5;
/** Target at 390 hosts: restarts and failures of hosts in a day. */
const RESTARTS_A_DAY = 1839;
const DAY = 86_400;
const LARGEST = 390;
/** Bytes a second that a host may spend for control, all parts together. */
const BUDGET = 3000;

/** Runs all sizes. */
export function run(): Promise<result.Result[]> {
  const { perHost, perEndpoint } = memory.measure();
  const results = SIZES.flatMap(measureSize);
  // Endpoints before a host as at the target size, on a smaller fleet.
  const dense = new fleets.Fleet(50, 705).measure(IDLE);
  results.push(
    bytes("dense/50 hosts, 705 endpoints/idle", dense.bytes, BUDGET),
  );
  results.push(...SHARE_SIZES.flatMap((size) => {
    return measureShares(`${size} hosts, 10 limits`, shares.measure(size));
  }));
  results.push(...ACCOUNT_SIZES.flatMap((size) => {
    const traffic = shares.measureAccounts(size);
    return measureShares(`${size} hosts, 2500 accounts`, traffic);
  }));
  results.push(
    time("memory of one host for each host known", perHost, "B"),
    time("memory of one host for each endpoint known", perEndpoint, "B"),
  );
  return Promise.resolve(results);
}

/** For `bench/main.ts`. */
export const measurement: result.Measurement = {
  title: "membership and endpoint registry at 6 to 390 hosts",
  run,
};

function measureSize(size: number): result.Result[] {
  const name = (what: string) => `${size} hosts/${what}`;
  const fleet = new fleets.Fleet(size, size * ENDPOINTS_PER_HOST);
  const idle = fleet.measure(IDLE);
  const perRestart = measureRestarts(fleet, idle);
  const rate = RESTARTS_A_DAY / DAY * size / LARGEST;
  const endpoint = size * ENDPOINTS_PER_HOST;
  fleet.startEndpoint(endpoint);
  const join = fleet.until((host) => fleet.agrees(host), 10_000);
  fleet.stopEndpoint(endpoint);
  const leave = fleet.until((host) => fleet.agrees(host), 10_000);
  fleet.loseDataCentre();
  fleet.hosts.traffic.clear();
  const settled = fleet.until((host) => fleet.agrees(host), 60_000);
  const sent = [...fleet.hosts.traffic.values()].map(({ bytes }) => bytes);
  const lost = sent.reduce((sum, bytes) => sum + bytes, 0) / sent.length;
  return [
    bytes(name("idle"), idle.bytes, BUDGET),
    bytes(name("idle, busiest host"), idle.mostBytes),
    count(name("idle, messages"), idle.messages, "1/s"),
    time(name("idle, processor time"), idle.cpu / 10, "% of a core"),
    count(
      name("one restart of a host and one of an endpoint"),
      perRestart,
      "B",
    ),
    bytes(name("at the target's restarts"), idle.bytes + rate * perRestart),
    count(name("join at all hosts"), join, "ms", 2000),
    count(name("departure at all hosts"), leave, "ms", 2000),
    count(name("loss of a data centre known at all hosts"), settled, "ms"),
    count(name("sent by a host until then"), lost, "B"),
    count(name("the same, busiest host"), Math.max(...sent), "B"),
  ];
}

function measureShares(
  place: string,
  { allocator, host, cpu }: shares.Traffic,
): result.Result[] {
  const name = (what: string) => `shares/${place}/${what}`;
  return [
    count(name("allocator sends"), allocator, "B/s"),
    count(name("another host sends"), host, "B/s"),
    time(name("processor time of all"), cpu / 10, "% of a core"),
  ];
}

/** Bytes that each host sends for a restart of a host and of an endpoint. */
function measureRestarts(fleet: fleets.Fleet, idle: fleets.Window): number {
  const { clock } = fleet.hosts;
  for (let pos = 0; pos < RESTARTS; pos++) {
    const at = 1000 + pos * 4000;
    clock.after(at, () => fleet.restartHost(3 + pos % (fleet.size - 3)));
    clock.after(at, () => fleet.stopEndpoint(pos));
    clock.after(at + 2000, () => fleet.startEndpoint(pos));
  }
  const churn = fleet.measure(CHURN);
  return (churn.bytes - idle.bytes) * CHURN / RESTARTS;
}

function bytes(name: string, value: number, most?: number): result.Result {
  return count(name, value, "B/s per host", most);
}

function count(
  name: string,
  value: number,
  unit: string,
  most?: number,
): result.Result {
  const bound = most === undefined ? undefined : { most };
  return { name: `members/${name}`, unit, value, kind: "count", bound };
}

function time(name: string, value: number, unit: string): result.Result {
  return { name: `members/${name}`, unit, value, kind: "time" };
}
