/** What the slopes of a role come to together, read at the target, and what
 * failures and requests cost by them.
 * @module */

import type * as slope from "./slope.ts";

/** One part of a sum: a slope, read at its target or as a slope, times a
 * number and times another slope at its target. */
export interface Term {
  slope: string;
  read?: "expected" | "slope";
  times?: number;
  by?: string;
}

/** A sum that a budget may bound. */
export interface Sum {
  name: string;
  unit: string;
  terms: readonly Term[];
  budget?: number;
}

/** Sums that stand together in one place of the page. */
export interface Group {
  /** Marker of the place. */
  place: string;
  sums: readonly Sum[];
}

/** Requests a second of a host at the peak. */
const REQUESTS = 6800 / 390;
/** Calls of a request before the one that generates. */
const STAGES = 4;
/** Percent of a core for a millisecond in each second. */
const PERCENT = 0.1;
const SHARES = "bytes of shares by rows";
const FRAMING = "bytes on the wire of a message";
const MESSAGE = "processor time of messages one by one";
const WIRE = { slope: FRAMING, read: "expected" } as const;
/** Percent of a core for a message a second; the line is milliseconds. */
const EACH_MESSAGE = {
  slope: MESSAGE,
  read: "slope",
  times: PERCENT,
} as const;
/** Messages of the watch that a host sends and receives in a second: two
 * keepalives, and a renewal each 2 s. */
const WATCH_MESSAGES = 2.5;
const BYTES_PER_MB = 1e6;
const SERVICES = 24;
const MOST_BYTES = 3000;
const MOST_MEMORY = 64;
const MOST_CPU = 1.1;

const TRAFFIC: Term[] = [
  { slope: "membership bytes at rest" },
  { ...WIRE, by: "membership messages at rest" },
  { slope: "registry bytes at rest" },
  { ...WIRE, by: "registry messages at rest" },
  { slope: "bytes of the watch on the wire" },
  { slope: "bytes on a connection", by: "hosts that a host sends to" },
];

/** Every sum of the page. */
export const all: readonly Group[] = [
  {
    place: "entry host sums",
    sums: [
      {
        name: "bytes sent, without shares of limits",
        unit: "bytes/s",
        budget: MOST_BYTES,
        terms: TRAFFIC,
      },
      {
        name: "bytes sent, with shares of limits",
        unit: "bytes/s",
        budget: MOST_BYTES,
        terms: [...TRAFFIC, { slope: SHARES }, { ...WIRE }],
      },
      {
        name: "processor time for control",
        unit: "% of a core",
        budget: MOST_CPU,
        terms: [
          { slope: "processor time of registry and membership" },
          { ...EACH_MESSAGE, by: "membership messages at rest" },
          { ...EACH_MESSAGE, by: "registry messages at rest" },
          { ...EACH_MESSAGE, times: WATCH_MESSAGES * PERCENT },
        ],
      },
      {
        name: "state of control and decisions on the heap",
        unit: "MB",
        budget: MOST_MEMORY,
        terms: [
          { slope: "memory of a copy of the registry" },
          { slope: "memory of the table" },
          { slope: "memory of routing" },
          { slope: "memory of believed prefixes", times: SERVICES / 2 },
          { slope: "memory of learnt stage times" },
          { slope: "memory of the fair queue" },
        ],
      },
      {
        name: "the whole process, resident",
        unit: "MB",
        budget: MOST_MEMORY,
        terms: [{ slope: "resident memory of a daemon" }],
      },
    ],
  },
  {
    place: "voter sums",
    sums: [
      {
        name: "bytes the leader sends with 390 hosts on 3 voters",
        unit: "bytes/s",
        terms: [
          { slope: "bytes the leader of the log sends at rest" },
          { slope: "bytes a voter sends to watchers at rest" },
          { slope: "bytes the allocator of shares sends" },
        ],
      },
      {
        name: "bytes the leader sends with 12 observers, without shares",
        unit: "bytes/s",
        terms: [
          { slope: "bytes the leader of the log sends at rest" },
          {
            slope: "bytes a voter sends to watchers at rest",
            read: "slope",
            times: 4,
          },
        ],
      },
      {
        name: "processor time of the leader, but for commits",
        unit: "% of a core",
        terms: [
          { slope: "processor time of a voter for watchers at rest" },
          { ...EACH_MESSAGE, times: 130 * WATCH_MESSAGES * PERCENT },
          { slope: "processor time of the allocator of shares" },
        ],
      },
      {
        name: "state on the heap",
        unit: "MB",
        budget: MOST_MEMORY,
        terms: [
          { slope: "memory of the table" },
          { slope: "memory of claims" },
        ],
      },
    ],
  },
  {
    place: "observer sums",
    sums: [
      {
        name: "bytes sent to 33 hosts at rest, with framing",
        unit: "bytes/s",
        terms: [
          { slope: "bytes an observer sends at rest" },
          { ...WIRE, by: "messages an observer sends at rest" },
        ],
      },
      {
        name: "processor time for 33 hosts, with transport",
        unit: "% of a core",
        terms: [
          { slope: "processor time of an observer at rest" },
          { ...EACH_MESSAGE, by: "messages an observer sends at rest" },
        ],
      },
    ],
  },
  {
    place: "requests",
    sums: [1, 2, 4, 8].map((words) => ({
      name: `a host's requests with ${words} tokens a chunk`,
      unit: "% of a core",
      terms: [
        {
          slope: `processor time of a request, ${words} ${
            words === 1 ? "token" : "tokens"
          } a chunk`,
          times: REQUESTS * PERCENT,
        },
        {
          slope: "processor time of plain calls",
          read: "slope" as const,
          times: STAGES * REQUESTS * PERCENT,
        },
      ],
    })),
  },
  {
    place: "failures",
    sums: [
      {
        name: "39 hosts that fail in a day",
        unit: "MB a host and day",
        terms: [
          { slope: "bytes for a host that dies", times: 39 / BYTES_PER_MB },
        ],
      },
      {
        name: "1,800 hosts that restart in a day",
        unit: "MB a host and day",
        terms: [
          {
            slope: "bytes for a host that restarts",
            times: 1800 / BYTES_PER_MB,
          },
        ],
      },
      {
        name: "1,800 engines that go and come in a day",
        unit: "MB a host and day",
        terms: [{
          slope: "bytes for an endpoint that comes and goes",
          times: 1800 / BYTES_PER_MB,
        }],
      },
      {
        name: "a rack of 20 hosts that dies, as if one by one",
        unit: "KB a host",
        terms: [{ slope: "bytes for a host that dies", times: 20 / 1000 }],
      },
      {
        name: "a data centre that dies",
        unit: "KB a host",
        terms: [{
          slope: "bytes for a data centre that dies",
          times: 1 / 1000,
        }],
      },
      {
        name: "the minute after a region was cut off",
        unit: "KB a host",
        terms: [{ slope: "bytes after a region was cut off", times: 1 / 1000 }],
      },
    ],
  },
];

/** Value of a term by the slopes. */
export function valueOf(
  { slope, read = "expected", times = 1, by }: Term,
  slopes: ReadonlyMap<string, slope.Slope>,
): number {
  const of = find(slopes, slope)[read];
  const factor = by === undefined ? 1 : find(slopes, by).expected;
  return of * times * factor;
}

/** Value of a sum by the slopes. */
export function total(
  { terms }: Sum,
  slopes: ReadonlyMap<string, slope.Slope>,
): number {
  return terms.reduce((sum, term) => sum + valueOf(term, slopes), 0);
}

function find(
  slopes: ReadonlyMap<string, slope.Slope>,
  name: string,
): slope.Slope {
  const found = slopes.get(name);
  if (found === undefined) throw new Error(`No slope is named ${name}`);
  return found;
}
