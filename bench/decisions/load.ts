/** Requests of a play, drawn from a seed.
 * @module */

import type * as gateway from "../../src/gateway/mod.ts";
import * as runtime from "../../src/runtime/mod.ts";
import * as chance from "./chance.ts";
import type * as deployments from "./deployment.ts";

/** A request as it will be sent. */
export interface Request {
  readonly id: string;
  readonly at: number;
  readonly kind: deployments.Kind;
  readonly prompt: gateway.Prompt;
  readonly pieces: readonly number[];
  readonly events: number;
  /** Picks the host that it reaches. */
  readonly caller: number;
}

/** Requests come in clumps of so many on average. */
const CLUMP = 3;

/** All requests within `length` milliseconds, the earliest first. */
export function requests(
  { kinds }: deployments.Deployment,
  { seed, length, bursts }: {
    seed: number;
    length: number;
    bursts: readonly deployments.Burst[];
  },
): Request[] {
  const random = runtime.createRandom(seed);
  const all = kinds.flatMap((kind) => {
    const made: Request[] = [];
    let at = chance.gap(kind.rate / CLUMP, random);
    while (at < length) {
      do {
        const id = `${kind.name}-${made.length}`;
        made.push({ ...draw(kind, random), id, at });
      } while (random.next() < 1 - 1 / CLUMP);
      const factor = factorAt(bursts, kind, at);
      at += chance.gap(kind.rate * factor / CLUMP, random);
    }
    return made;
  });
  return all.sort((one, other) => one.at - other.at);
}

function factorAt(
  bursts: readonly deployments.Burst[],
  { name }: deployments.Kind,
  now: number,
): number {
  return bursts.reduce((factor, { at, length, factor: more, kind = name }) => {
    const isOn = now >= at && now < at + length && kind === name;
    return isOn ? factor * more : factor;
  }, 1);
}

function draw(
  kind: deployments.Kind,
  random: runtime.Random,
): Omit<Request, "id" | "at"> {
  const own = Math.ceil(chance.size(kind.own, random));
  const shared = kind.shared.map(({ tokens, variety }, pos) => ({
    id: `${kind.name}.${pos}.${random.below(variety)}`,
    tokens,
  }));
  const parts = [...shared, { id: `own.${random.next()}`, tokens: own }];
  return {
    kind,
    prompt: {
      model: "m",
      inputTokens: parts.reduce((sum, { tokens }) => sum + tokens, 0),
      outputTokens: 100,
      parts,
    },
    pieces: kind.stages.map(({ pieces, share }) =>
      random.next() < share
        ? Math.max(1, Math.round(chance.size(pieces, random)))
        : 0
    ),
    events: Math.max(1, Math.round(chance.size(kind.events, random))),
    caller: random.next(),
  };
}
