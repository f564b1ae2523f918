/** Time and bytes of a choice by size of the group.
 * @module */

import * as hdr from "hdr-histogram-js";
import * as v8 from "node:v8";
import * as vm from "node:vm";
import * as routing from "../../src/routing/mod.ts";
import * as fixture from "./fixture.ts";
import type * as result from "../result.ts";

const SIZES = [18, 180, 1800, 5500];
const FAMILIES = 200;
/** Choices timed for each size, after a quarter as many to warm up. */
const CHOICES = 20_000;
/** Choices whose allocation is measured without a collection between. */
const ALLOCATING = 500;
const SCANS = 200;
/** Nanoseconds in a microsecond. */
const MICROSECOND = 1000;

interface Timing {
  size: number;
  mean: number;
  p50: number;
  p99: number;
  scan: number;
  bytes: number;
  /** Bytes kept for an endpoint, and for a believed block. */
  state: number;
  block: number;
}

/** Measures all sizes. Its ratios and slopes change by more than half from
 * run to run on a shared machine, so they have bounds of their own and are not
 * compared with those of an earlier run. */
export function run(): result.Result[] {
  const timings = SIZES.map(measure);
  const results = timings.flatMap(describe);
  results.push(...describeState(timings[timings.length - 1]));
  const first = timings[0];
  const last = timings[timings.length - 1];
  results.push({
    name: "choice/slope of time from 18 to 5500",
    unit: "exponent",
    value: slope(first.p50 / last.p50, first.size / last.size),
    kind: "time",
    bound: { most: 0.4 },
  }, {
    name: "choice/slope of bytes from 18 to 5500",
    unit: "exponent",
    value: slope(first.bytes / last.bytes, first.size / last.size),
    kind: "time",
    bound: { most: 0.2 },
  });
  return results;
}

function describe(timing: Timing): result.Result[] {
  const { size } = timing;
  const micro = { unit: "us", kind: "time" as const };
  const p99 = size === 5500 ? { most: 50 } : undefined;
  return [
    { name: `choice/mean/${size}`, value: timing.mean, ...micro },
    { name: `choice/p50/${size}`, value: timing.p50, ...micro },
    { name: `choice/p99/${size}`, value: timing.p99, ...micro, bound: p99 },
    {
      name: `choice/of a scan/${size}`,
      unit: "ratio",
      value: timing.p50 / timing.scan,
      kind: "time",
      bound: size === 5500 ? { most: 0.1 } : undefined,
    },
    {
      name: `choice/bytes allocated/${size}`,
      unit: "bytes",
      value: timing.bytes,
      kind: "time",
    },
  ];
}

/** Read at the largest size alone: at the others the heap's noise is more. */
function describeState(timing: Timing): result.Result[] {
  const bytes = { unit: "bytes", kind: "time" as const };
  return [
    { name: "choice/bytes kept for a block", value: timing.block, ...bytes },
    {
      name: "choice/bytes kept for an endpoint",
      value: timing.state,
      ...bytes,
    },
  ];
}

function measure(size: number): Timing {
  const before = heap();
  const group = fixture.group(size);
  const state = (heap() - before) / size;
  const blocks = believe(group, size);
  const calls = Array.from(
    { length: 2 * FAMILIES },
    (_, pos) => fixture.call(fixture.prompt(pos, pos)),
  );
  const choose = (pos: number) =>
    routing.endpointChoice.choose(group, calls[pos % calls.length], 100);
  const times = time(choose, CHOICES);
  const scans = time(() => fixture.scan(group, calls[0], 100), SCANS);
  return {
    size,
    state,
    block: blocks,
    mean: times.mean / MICROSECOND,
    p50: times.getValueAtPercentile(50) / MICROSECOND,
    p99: times.getValueAtPercentile(99) / MICROSECOND,
    scan: scans.getValueAtPercentile(50) / MICROSECOND,
    bytes: allocated(choose),
  };
}

/** Lets a group believe in cached prompts; returns the bytes of a block. */
function believe(
  group: routing.endpointGroup.EndpointGroup,
  size: number,
): number {
  const before = heap();
  for (let family = 0; family < FAMILIES; family++) {
    const id = `engine-${family % size}`;
    group.prefixIndex.recordPrompt(id, fixture.prompt(family, 0), 1);
  }
  return (heap() - before) / group.prefixIndex.size;
}

function time(run: (pos: number) => unknown, runs: number): hdr.Histogram {
  for (let pos = 0; pos < runs / 4; pos++) run(pos);
  const times = hdr.build({ highestTrackableValue: 1e9 });
  for (let pos = 0; pos < runs; pos++) {
    const start = process.hrtime.bigint();
    run(pos);
    times.recordValue(Number(process.hrtime.bigint() - start));
  }
  return times;
}

function allocated(choose: (pos: number) => unknown): number {
  const before = heap();
  for (let pos = 0; pos < ALLOCATING; pos++) choose(pos);
  return (process.memoryUsage().heapUsed - before) / ALLOCATING;
}

/** Bytes of the heap after a collection. */
function heap(): number {
  v8.setFlagsFromString("--expose-gc");
  const collect = vm.runInNewContext("gc");
  collect();
  collect();
  return process.memoryUsage().heapUsed;
}

function slope(values: number, sizes: number): number {
  return Math.log(values) / Math.log(sizes);
}
