/** Six daemons under load and edits for minutes, with faults every few seconds:
 * nothing of what must always hold may break.
 * @module */

import * as runtime from "../../src/runtime/mod.ts";
import * as run from "../../standins/experiment/run.ts";
import * as summary from "../../standins/experiment/summary.ts";
import * as balancer from "./balancer.ts";
import * as chaos from "./chaos.ts";
import * as editors from "./editors.ts";
import type * as finding from "./finding.ts";
import * as sampler from "./sampler.ts";
import * as sites from "./site.ts";
import * as tables from "./tables.ts";

const FOLDER = "out/soak";
const SEED = 41;
/** Requests a second. */
const RATE = 30;
/** Milliseconds between two faults. */
const INTERVAL: readonly [number, number] = [2_000, 6_000];
/** Milliseconds between two edits of one editor. */
const PACE = 1_000;
const EDITORS = 4;
/** Milliseconds between two looks at the table, and at the processes. */
const TABLE_LOOK = 250;
const SAMPLE = 5_000;
/** Milliseconds between two lines of progress. */
const PROGRESS = 10_000;
const MINUTE = 60_000;
const ACTOR = "planner";

/** Everything that goes on at once. */
interface Activities {
  site: sites.Site;
  observer: tables.Observer;
  chaos: chaos.Chaos;
  balancer: balancer.Balancer;
  duration: number;
}

/** Runs for some minutes. */
export async function measure(
  { settings, minutes }: finding.Options,
): Promise<finding.Finding> {
  const site = sites.Site.create(settings, FOLDER);
  try {
    await site.start();
    sites.tell("six daemons and their endpoints are ready");
    return await observe(site, minutes);
  } finally {
    await site.stop();
  }
}

async function observe(
  site: sites.Site,
  minutes: number,
): Promise<finding.Finding> {
  const { fleet, operators } = site;
  // One host lives throughout, so that its memory shows a slope.
  const [survivor] = fleet.hosts.filter((host) => !fleet.voters.includes(host));
  const first = await tables.revisionOf(operators[0]);
  const parts: Activities = {
    site,
    observer: new tables.Observer(fleet, TABLE_LOOK),
    chaos: new chaos.Chaos({
      site,
      random: runtime.createRandom(SEED),
      clock: runtime.systemClock,
      mortal: fleet.hosts.filter((host) => host !== survivor),
      pausable: fleet.hosts,
      endpoints: true,
      interval: INTERVAL,
    }),
    balancer: new balancer.Balancer(fleet),
    duration: minutes * MINUTE,
  };
  const watch = new sampler.Sampler(fleet);
  watch.start(SAMPLE);
  const [outcomes, edits] = await act(parts);
  const lives = watch.stop();
  const settled = await settle(site, edits.accepted);
  const verdict = site.witness.judge(parts.chaos.disturbances);
  const last = Math.max(...edits.accepted.map(({ revision }) => revision));
  return {
    breaches: {
      ...verdict.breaches,
      "edit-lost": await tables.countLost(operators, edits.accepted),
      "edit-doubled": last - first - edits.accepted.length,
      "edit-answer-changed": edits.changedAnswers,
      "edit-race-unfair": edits.unfairRaces,
      "table-reverted": parts.observer.reverted,
    },
    figures: {
      minutes,
      faults: parts.chaos.counts,
      load: summarize(outcomes),
      verdict,
      edits: {
        accepted: edits.accepted.length,
        latency: summary.summarize(edits.latencies),
        longestGap: edits.longestGap,
        settled,
      },
      survivor,
      lives: lives.filter(({ seconds }) => seconds >= 30),
    },
  };
}

/** Load, edits and faults at once, until the time is over. */
async function act(
  parts: Activities,
): Promise<[readonly run.Outcome[], editors.Outcome]> {
  const { site, observer, chaos, balancer, duration } = parts;
  const watching = [observer.run(), balancer.run(), chaos.run()];
  const progress = setInterval(() => {
    sites.tell(`faults ${JSON.stringify(chaos.counts)}`);
  }, PROGRESS);
  let over = false;
  const loading = site.load({
    duration,
    rate: RATE,
    mix: sites.kivuMix(),
    seed: SEED,
    hosts: balancer.hosts,
  }).finally(() => {
    over = true;
    observer.stop();
    balancer.stop();
    chaos.stop();
  });
  const editing = editors.run({
    operators: site.operators,
    actor: ACTOR,
    edits: 0,
    more: () => !over,
    pace: PACE,
    editors: EDITORS,
    resends: 0.2,
    races: 0.1,
    random: runtime.createRandom(SEED),
    clock: runtime.systemClock,
  });
  try {
    const done = await Promise.all([loading, editing]);
    await Promise.all(watching);
    return done;
  } finally {
    clearInterval(progress);
  }
}

/** Milliseconds until all hosts have the last accepted edit. */
async function settle(
  { fleet, operators }: sites.Site,
  accepted: readonly editors.Accepted[],
): Promise<number> {
  const last = Math.max(...accepted.map(({ revision }) => revision));
  const before = performance.now();
  await fleet.until(async () => {
    const revisions = await Promise.all(operators.map(tables.revisionOf));
    return revisions.every((revision) => revision >= last);
  }, "the last edit is in force everywhere");
  return Math.round(performance.now() - before);
}

/** Requests by what became of them. */
function summarize(outcomes: readonly run.Outcome[]) {
  const attained = outcomes.filter(run.attained);
  return {
    sent: outcomes.length,
    attained: attained.length,
    attainment: attained.length / outcomes.length,
    latency: summary.summarize(attained.map(({ latency }) => latency)),
    /** How late the load itself was sent. */
    lag: summary.summarize(outcomes.map(({ lag }) => lag)),
  };
}
