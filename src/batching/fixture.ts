/** Pieces and endpoints for tests.
 * @module */

import type * as work from "./task.ts";

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
export function tasks(
  request: string,
  count: number,
  change: Partial<work.Task> = {},
): work.Task[] {
  return Array.from({ length: count }, (_, piece) => ({
    request,
    stage: 0,
    itemIndex: piece,
    key: "k",
    bytes: 100,
    expiresAt: 10_000,
    dueAt: 2000,
    rank: 0,
    transferBytes: 100,
    attempts: 0,
    ...change,
  }));
}
