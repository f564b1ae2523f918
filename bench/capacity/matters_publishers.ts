/** Slopes of hosts that publish the table: voters, observers, and how long a
 * change takes through them.
 * @module */

import * as gauge from "./gauge.ts";
import type * as slope from "./slope.ts";
import * as tables from "./tables.ts";

const SUBSCRIBERS = [13, 26, 52, 130];
const DELAYS = [1, 10, 50, 100];
const EDITS = [1, 10, 50, 100];
const SECONDS = 20;
const ROUNDS = 3;
/** 390 hosts over 12 observers, evenly. */
const PER_OBSERVER = 33;
/** Commits at several moments between two keepalives; the longest counts. */
const PHASES = 10;
const PHASE = 53;
const FORCE = 4000;
const CORE = 100;
const SECOND = 1000;

/** A publisher after some seconds. */
async function fanOut(
  subscribers: number,
  edits: number,
): Promise<{ bytes: number; messages: number; cpu: number }> {
  const out = new tables.FanOut(subscribers);
  out.second(edits);
  out.bytes = 0;
  out.messages = 0;
  const cpu = await gauge.cpu(() => {
    for (let second = 0; second < SECONDS; second++) out.second(edits);
  });
  return {
    bytes: out.bytes / SECONDS,
    messages: out.messages / SECONDS,
    cpu: cpu / SECONDS / SECOND * CORE,
  };
}

type What = "bytes" | "messages" | "cpu";

async function bySubscribers(
  what: What,
  edits = 0,
): Promise<slope.Point[]> {
  const points: slope.Point[] = [];
  for (const size of SUBSCRIBERS) {
    const value = await gauge.median(
      ROUNDS,
      async () => (await fanOut(size, edits))[what],
    );
    points.push({ size, value });
  }
  return points;
}

const OBSERVER = {
  role: "observer" as const,
  per: "hosts that watch it",
  target: PER_OBSERVER,
  reason: "390 hosts over 12 observers, 26 to 52 by rendezvous hash",
};

const VOTER = {
  role: "voter" as const,
  per: "hosts that watch it",
  target: 130,
  reason: "390 hosts on 3 voters, where no observer is named",
};

async function atDelays(
  observers: readonly string[],
  silence: boolean,
): Promise<slope.Point[]> {
  await Promise.resolve();
  return DELAYS.map((size) => {
    let longest = 0;
    for (let phase = 0; phase < PHASES; phase++) {
      const chain = new tables.Chain(size, observers);
      chain.run(phase * PHASE);
      // The first of the two is the one that the watcher listens to.
      if (silence) chain.mute = observers[0];
      longest = Math.max(longest, chain.commit());
    }
    return { size, value: longest };
  });
}

const DELAY = {
  role: "observer" as const,
  per: "ms one way",
  unit: "ms",
  target: 100,
  reason: "an assumed way between regions",
  budget: FORCE,
};

const delays: slope.Matter[] = [
  {
    ...DELAY,
    name: "time from commit to a host through a voter",
    mechanism: "a batch of 20 ms, then one message",
    measure: () => atDelays([], false),
  },
  {
    ...DELAY,
    name: "time from commit to a host through an observer",
    mechanism: "two batches of 20 ms and two messages",
    measure: () => atDelays(["o1", "o2"], false),
  },
  {
    ...DELAY,
    name: "time from commit with the observer gone silent",
    mechanism: "a watcher changes after 1.2 s without word of the quorum",
    measure: () => atDelays(["o1", "o2"], true),
  },
];

const observers: slope.Matter[] = [
  {
    ...OBSERVER,
    name: "bytes an observer sends at rest",
    unit: "bytes/s",
    mechanism: "a short message each 500 ms to a host with nothing new",
    measure: () => bySubscribers("bytes"),
  },
  {
    ...OBSERVER,
    name: "messages an observer sends at rest",
    unit: "messages/s",
    mechanism: "as above",
    measure: () => bySubscribers("messages"),
  },
  {
    ...OBSERVER,
    name: "processor time of an observer at rest",
    unit: "% of a core",
    mechanism: "no work but for hosts that are due",
    measure: () => bySubscribers("cpu"),
  },
  {
    ...OBSERVER,
    name: "processor time of an observer in a burst",
    unit: "% of a core",
    mechanism: "100 edits a second in deltas of 20 ms",
    measure: () => bySubscribers("cpu", 100),
  },
  {
    role: "observer",
    name: "bytes an observer sends in a burst",
    per: "edits a second, 33 hosts",
    unit: "bytes/s",
    target: 100,
    reason: "a script that edits one cell after another",
    mechanism: "edits within 20 ms share one delta",
    async measure() {
      const points: slope.Point[] = [];
      for (const size of EDITS) {
        const { bytes } = await fanOut(PER_OBSERVER, size);
        points.push({ size, value: bytes });
      }
      return points;
    },
  },
  ...delays,
];

const voters: slope.Matter[] = [
  {
    ...VOTER,
    name: "bytes a voter sends to watchers at rest",
    unit: "bytes/s",
    mechanism: "observers in between: a voter then serves 4 hosts, not 130",
    measure: () => bySubscribers("bytes"),
  },
  {
    ...VOTER,
    name: "processor time of a voter for watchers at rest",
    unit: "% of a core",
    mechanism: "as above",
    measure: () => bySubscribers("cpu"),
  },
];

/** Every slope of publishers. */
export const all: readonly slope.Matter[] = [...voters, ...observers];
