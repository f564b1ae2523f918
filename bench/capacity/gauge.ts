/** Reads what a piece of work costs in memory and in processor time.
 * @module */

import * as v8 from "node:v8";
import * as vm from "node:vm";

const MICROSECONDS = 1000;

/** What `create` leaves on the heap, in bytes. */
export function weigh(create: () => unknown): number {
  const before = heap();
  const kept = create();
  const bytes = heap() - before;
  // Kept until here, so that the collection cannot take it.
  return kept === undefined ? 0 : bytes;
}

/** Milliseconds of processor time that `run` takes in this process. */
export async function cpu(run: () => unknown): Promise<number> {
  const before = process.cpuUsage();
  await run();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / MICROSECONDS;
}

/** The middle one of `rounds` measurements. */
export async function median(
  rounds: number,
  measure: () => Promise<number> | number,
): Promise<number> {
  const values: number[] = [];
  for (let round = 0; round < rounds; round++) values.push(await measure());
  return values.toSorted((a, b) => a - b)[rounds >>> 1];
}

function heap(): number {
  v8.setFlagsFromString("--expose-gc");
  const collect = vm.runInNewContext("gc") as () => void;
  collect();
  collect();
  return process.memoryUsage().heapUsed;
}
