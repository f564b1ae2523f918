/** Decides which services of a route may compute a request's stages in another
 * data centre than the one in which their results are needed.
 * @module */

import type * as configurations from "../configuration/mod.ts";
import * as batching from "../batching/mod.ts";

/** Services whose stages take and give little data, or exchange it among
 * themselves alone, so that all of them may move together. `itemCounts` is the
 * number of items of each stage. */
export function mobileServices(
  stages: readonly configurations.Stage[],
  itemCounts: readonly number[],
): string[] {
  const used = stages.map((_, index) => index)
    .filter((index) => itemCounts[index] > 0);
  const fixed = new Set(
    used.filter((index) => stages[index].bytes >= batching.MIN_TRANSFER_BYTES)
      .map((index) => stages[index].service),
  );
  const isBoundTo = (index: number) => (input: number) => {
    const bytes = stages[input].bytes * itemCounts[input];
    const isMixed = fixed.has(stages[input].service) !==
      fixed.has(stages[index].service);
    return isMixed && bytes >= batching.MIN_TRANSFER_BYTES;
  };
  for (;;) {
    const bound = used.filter((index) =>
      stages[index].after.some(isBoundTo(index))
    );
    if (bound.length === 0) break;
    for (const index of bound) {
      fixed.add(stages[index].service);
      for (const input of stages[index].after) fixed.add(stages[input].service);
    }
  }
  const services = new Set(used.map((index) => stages[index].service));
  return [...services].filter((service) => !fixed.has(service));
}
