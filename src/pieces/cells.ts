/** Cells: parts of a service's endpoints, each scheduled by a batcher of its
 * own. One batcher that sees all endpoints fills calls best; a service with
 * many endpoints asks more of one host than its processor and link can do, so
 * it is divided by data centre, and a large data centre once more.
 * @module */

import * as rendezvous from "../gateway/rendezvous.ts";
import type * as works from "./work.ts";

/** Most endpoints of one cell: the batcher of 10 to 12 of them took 0.2 of a
 * core on average, and over 7 Mbit/s in bursts (docs/RUNS.md). */
const MOST = 6;
/** Name of the cell that has all endpoints of a service. */
const WHOLE = "all";

/** Endpoints that one batcher gives calls to. */
export interface Cell {
  /** The same on all hosts that know the same endpoints. */
  readonly name: string;
  /** Where all of them are; undefined where they are in several places. */
  readonly dataCentre?: string;
  readonly workers: readonly works.Worker[];
}

/** The cell of a service. */
export interface CellName {
  readonly service: string;
  readonly cell: string;
}

/** Divides the endpoints of a service. Which are sound must not matter: a cell
 * that came and went would lose sight of its results. */
export function divide(
  workers: readonly works.Worker[],
  most = MOST,
): Cell[] {
  if (workers.length <= most) return [{ name: WHOLE, workers }];
  const places = new Map<string, works.Worker[]>();
  for (const worker of workers) {
    const { dataCentre } = worker;
    places.set(dataCentre, [...(places.get(dataCentre) ?? []), worker]);
  }
  return [...places].flatMap(([place, there]) => divideAt(place, there, most));
}

/** Endpoints of a cell; all of them where hosts do not know the same cells,
 * which is so for a moment when endpoints come or go. */
export function workersOf(
  name: string,
  workers: readonly works.Worker[],
  most = MOST,
): readonly works.Worker[] {
  const cell = divide(workers, most).find((each) => each.name === name);
  return cell?.workers ?? workers;
}

/** Data centre of a cell; undefined of one in several places. */
export function placeOf(name: string): string | undefined {
  return name === WHOLE ? undefined : name.slice(0, name.lastIndexOf("/"));
}

/** The cell that makes a request's pieces: one where they are wanted, if any
 * there has endpoints that are sound. */
export function pick(
  cells: readonly Cell[],
  { request, dataCentre, isSound }: {
    request: string;
    dataCentre: string;
    isSound(worker: works.Worker): boolean;
  },
): Cell {
  const able = cells.filter(({ workers }) => workers.some(isSound));
  const near = able.filter((cell) => cell.dataCentre === dataCentre);
  const candidates = [near, able, cells].find(({ length }) => length > 0)!;
  const [first] = rendezvous.rank(request, candidates.map(({ name }) => name));
  return candidates.find(({ name }) => name === first)!;
}

function divideAt(
  dataCentre: string,
  workers: readonly works.Worker[],
  most: number,
): Cell[] {
  const count = Math.ceil(workers.length / most);
  const sorted = [...workers].sort((one, other) =>
    one.address < other.address ? -1 : 1
  );
  return Array.from({ length: count }, (_, number) => ({
    name: `${dataCentre}/${number}.${count}`,
    dataCentre,
    workers: sorted.filter((_, pos) => pos % count === number),
  }));
}
