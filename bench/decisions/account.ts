/** What became of the requests of a play.
 * @module */

import type * as load from "./load.ts";

/** How a request ended for its caller. */
export type Ending = "in-time" | "late" | "refused" | "failed" | "left";

/** One request, ended. */
export interface Ended {
  readonly request: load.Request;
  readonly ending: Ending;
  /** Whether it had come back after a refusal. */
  readonly isBack: boolean;
  /** Milliseconds to the first event, from its first attempt. */
  readonly first?: number;
}

/** Costs of a play beside requests. */
export interface Costs {
  /** Bytes of results that crossed data centres. */
  crossed: number;
  /** Prompt tokens that engines read. */
  read: number;
  /** Milliseconds of calls for pieces, and results that found no room. */
  busy: number;
  rejected: number;
  /** Pieces whose inputs were gone. */
  starved: number;
  /** Results that were made, and those that a request was served with. */
  made: number;
  used: number;
}

/** A play, summed up. */
export interface Account extends Costs {
  readonly ended: readonly Ended[];
}

/** What a request earns, by its size against the mean of its kind. */
export function worthOf(
  { request: { kind, prompt } }: Pick<Ended, "request">,
): number {
  const shared = kind.shared.reduce((sum, { tokens }) => sum + tokens, 0);
  const size = prompt.inputTokens / (kind.own.mean + shared);
  return Math.min(4, 0.3 + 0.7 * size) * kind.worth;
}

/** Part of what could be earned that was. */
export function share(ended: readonly Ended[]): number {
  const owed = ended.reduce((sum, each) => sum + worthOf(each), 0);
  const earned = ended.reduce((sum, each) => {
    const { worth, lateWorth } = each.request.kind;
    const part = { "in-time": 1, late: lateWorth / worth };
    const { ending } = each;
    return sum + worthOf(each) *
        (ending === "in-time" || ending === "late" ? part[ending] : 0);
  }, 0);
  return owed === 0 ? 1 : earned / owed;
}

/** Lines of a table: each kind, and each two seconds. */
export function table({ ended, ...costs }: Account): string {
  const groups = new Map<string, Ended[]>();
  const add = (key: string, each: Ended) =>
    groups.set(key, [...groups.get(key) ?? [], each]);
  for (const each of ended) {
    add(each.request.kind.name, each);
    add(`${2 * Math.floor(each.request.at / 2000)} s`, each);
  }
  const rows = [...groups].map(([key, group]) => row(key, group));
  const head = "part       asked in-time late refused failed left share";
  return [head, ...rows, row("all", ended), JSON.stringify(costs)].join("\n");
}

function row(name: string, group: readonly Ended[]): string {
  const count = (ending: Ending) =>
    `${group.filter((each) => each.ending === ending).length}`.padStart(6);
  const endings = ["in-time", "late", "refused", "failed", "left"] as const;
  return `${name.padEnd(10)}${`${group.length}`.padStart(6)}${
    endings.map(count).join("")
  } ${share(group).toFixed(3)}`;
}
