/** Pieces and endpoints for tests.
 * @module */

import type * as work from "./work.ts";

/** So many endpoints in each data centre. */
export function workersAt(counts: Record<string, number>): work.Worker[] {
  return Object.entries(counts).flatMap(([dataCentre, count], place) =>
    Array.from({ length: count }, (_, number) => ({
      id: `${dataCentre}-${number}`,
      name: `${dataCentre}-${number}`,
      address: `10.${place}.0.${number}:80`,
      dataCentre,
    }))
  );
}

/** So many pieces of a request. */
export function works(
  request: string,
  count: number,
  change: Partial<work.Work> = {},
): work.Work[] {
  return Array.from({ length: count }, (_, piece) => ({
    request,
    stage: 0,
    piece,
    key: "k",
    bytes: 100,
    expires: 10_000,
    wanted: 2000,
    rank: 0,
    moved: 100,
    tries: 0,
    ...change,
  }));
}
