/** One request through each of six daemons; what they cost while idle; and how
 * soon an endpoint that leaves gets no new work.
 * @module */

import type * as schema from "../../src/schema/experiment_types.ts";
import * as run from "../../standins/experiment/run.ts";
import type * as finding from "./finding.ts";
import * as fleets from "./fleet.ts";
import type * as operator from "./operator.ts";
import * as requests from "./requests.ts";
import * as sampler from "./sampler.ts";
import * as sites from "./site.ts";
import * as witnesses from "./witness.ts";

const FOLDER = "out/once";
/** Milliseconds that the fleet gets to become calm. */
const CALM = 5_000;
/** Milliseconds over which idle cost is measured. */
const IDLE = 20_000;
/** Milliseconds in which an endpoint that leaves must be forgotten. */
const LEAVE_BOUND = 2_000;
/** Milliseconds of load before and after the leave. */
const BEFORE = 1_500;
const AFTER = 4_000;
/** Tokens of the answer to the one request through each host. */
const TOKENS = 64;
/** Requests a second while an endpoint leaves. */
const RATE = 60;
/** Services of which the busiest endpoint leaves. */
const SERVICES = ["lm-pool", "encoders", "vessel-registry"];
/** Milliseconds past its deadline that a caller waits. */
const PATIENCE = 3_000;

/** Idle cost of one host. */
interface Idle extends sampler.Life {
  voter: boolean;
  /** Bytes a second that it sends to other hosts. */
  sentBytes: number;
}

/** Runs all three measurements. */
export async function measure(
  { settings }: finding.Options,
): Promise<finding.Finding> {
  const site = sites.Site.create(settings, FOLDER);
  try {
    await site.fleet.startAll();
    sites.tell("six daemons are ready");
    await fleets.pause(CALM);
    const alone = await idle(site);
    sites.tell("idle cost without endpoints is measured");
    const began = performance.now();
    await site.announce();
    const announced = Math.round(performance.now() - began);
    await fleets.pause(CALM);
    const withEndpoints = await idle(site);
    sites.tell("idle cost with endpoints is measured");
    const requests = await askEach(site);
    const leaves: Leave[] = [];
    for (const service of SERVICES) leaves.push(await leave(site, service));
    const verdict = site.witness.judge([]);
    const late = leaves.filter(({ last }) => last >= LEAVE_BOUND).length;
    return {
      breaches: { ...verdict.breaches, "work-after-leave": late },
      figures: { alone, withEndpoints, announced, requests, leaves, verdict },
    };
  } finally {
    await site.stop();
  }
}

async function idle(site: sites.Site): Promise<Idle[]> {
  const { fleet, operators } = site;
  const watch = new sampler.Sampler(fleet);
  const before = await Promise.all(operators.map(bytesSent));
  watch.look();
  await fleets.pause(IDLE);
  const lives = watch.stop();
  const after = await Promise.all(operators.map(bytesSent));
  return lives.map((life, pos) => ({
    ...life,
    voter: fleet.voters.includes(life.host),
    sentBytes: Math.round((after[pos] - before[pos]) * 1000 / IDLE),
  }));
}

async function bytesSent(client: operator.Operator): Promise<number> {
  const { metrics } = await client.dump() as {
    metrics: { counts: Record<string, number> };
  };
  return metrics.counts["peer.bytes_sent"] ?? 0;
}

/** How one streamed plan through each host ended, and its milliseconds. */
async function askEach(site: sites.Site): Promise<Record<string, Asked>> {
  const found: Record<string, Asked> = {};
  for (const host of site.fleet.hosts) {
    const planned = requests.create("plan", { maxTokens: TOKENS });
    const left = planned.entry.deadline;
    const began = performance.now();
    const reply = await site.witness.send(planned, {
      host: site.fleet.callersUrl(host),
      left,
      patience: left + PATIENCE,
    });
    const ms = Math.round(performance.now() - began);
    found[host] = { reply: witnesses.describe(reply), ms };
  }
  return found;
}

interface Asked {
  reply: string;
  ms: number;
}

interface Leave {
  endpoint: string;
  /** Calls that it started before, in the same load. */
  before: number;
  /** Calls that it started after it had said that it leaves. */
  after: number;
  /** Milliseconds from the leave to the last call that it started. */
  last: number;
  /** Requests of the load, and those answered whole and in time. */
  sent: number;
  attained: number;
}

async function leave(site: sites.Site, service: string): Promise<Leave> {
  const { ledger } = site.standIns;
  const began = runsOf(site, service);
  const loading = site.load({
    duration: BEFORE + AFTER,
    rate: RATE,
    mix: leaveMix(),
    seed: SERVICES.indexOf(service) + 1,
  });
  await fleets.pause(BEFORE);
  const { endpoint, before, fresh } = busiest(runsOf(site, service), began);
  const from = performance.now();
  const leaving = site.standIns.leave({ endpoint });
  let [known, last] = [before, 0];
  while (performance.now() < from + AFTER) {
    const runs = ledger.endpointRuns(endpoint);
    if (runs > known) last = Math.round(performance.now() - from);
    known = runs;
    await fleets.pause(2);
  }
  await leaving;
  const outcomes = await loading;
  sites.tell(`${endpoint} left: last new work after ${last} ms`);
  return {
    endpoint,
    before: fresh,
    after: known - before,
    last,
    sent: outcomes.length,
    attained: outcomes.filter(run.attained).length,
  };
}

function runsOf(site: sites.Site, service: string): Map<string, number> {
  const { ledger } = site.standIns;
  const endpoints = site.standIns.select({ service });
  return new Map(endpoints.map(({ id }) => [id, ledger.endpointRuns(id)]));
}

/** The endpoint that started most calls since `began`. */
function busiest(
  runs: ReadonlyMap<string, number>,
  began: ReadonlyMap<string, number>,
): { endpoint: string; before: number; fresh: number } {
  const all = [...runs].map(([endpoint, before]) => ({
    endpoint,
    before,
    fresh: before - began.get(endpoint)!,
  }));
  return all.toSorted((one, other) => other.fresh - one.fresh)[0];
}

/** Questions, and look-ups in the registry of vessels. */
function leaveMix(): schema.Entry[] {
  const questions = sites.kivuMix().filter(({ kind }) => kind === "question");
  const [question] = questions;
  return [
    question,
    {
      ...question,
      account: "dive-crews",
      stream: false,
      call: { type: "service", service: "vessel-registry", path: "/vessels" },
    },
  ];
}
