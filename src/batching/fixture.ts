/** Tasks and endpoints for tests.
 * @module */

import type * as task from "./task.ts";

/** Endpoints, `counts` of them in each data centre. */
export function workersAt(counts: Record<string, number>): task.Worker[] {
  return Object.entries(counts).flatMap(([dataCentre, count], position) =>
    Array.from({ length: count }, (_, index) => ({
      id: `${dataCentre}-${index}`,
      name: `${dataCentre}-${index}`,
      address: `10.${position}.0.${index}:80`,
      dataCentre,
    }))
  );
}

/** `count` tasks of a request. */
export function tasks(
  request: string,
  count: number,
  change: Partial<task.Task> = {},
): task.Task[] {
  return Array.from({ length: count }, (_, itemIndex) => ({
    request,
    stage: 0,
    itemIndex,
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
