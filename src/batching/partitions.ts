/** Cells: parts of a service's endpoints, each scheduled by a batcher of its
 * own. One batcher that sees all endpoints fills calls best; a service with
 * many endpoints asks more of one host than its processor and link can do, so
 * it is divided by data centre, and a large data centre once more. Data centres
 * that have few endpoints each share a cell: one or two endpoints by themselves
 * are overloaded by what their neighbours would take. In simulated loads of 190
 * hosts, where nine endpoints stand in five data centres, .033 more of a burst's
 * worth is served so, and .016 more of a calm load's; a fifth more bytes cross.
 * @module */

import * as rendezvous from "../routing/rendezvous.ts";
import type * as works from "./task.ts";

/** Most endpoints of one cell: the batcher of 10 to 12 of them took 0.2 of a
 * core on average, and over 7 Mbit/s in bursts (docs/RUNS.md). */
const MOST = 6;
/** Endpoints in a data centre, on average, from which on they are a cell of
 * their own: what they make then crosses no data centres. */
const LEAST = 3;
/** Name of the cell that has all endpoints of a service. */
const WHOLE = "all";
/** Begins the names of cells of several data centres. */
const SHARED = "*";

/** Endpoints that one batcher gives calls to. */
export interface Partition {
  /** The same on all hosts that know the same endpoints. */
  readonly name: string;
  /** Where all of them are; undefined where they are in several places. */
  readonly dataCentre?: string;
  /** Data centres that it is near to; undefined of all. */
  readonly localDataCentres?: readonly string[];
  readonly workers: readonly works.Worker[];
}

/** The cell of a service. */
export interface PartitionName {
  readonly service: string;
  readonly cell: string;
}

/** Divides the endpoints of a service. Which are sound must not matter: a cell
 * that came and went would lose sight of its results. */
export function partition(
  workers: readonly works.Worker[],
  most = MOST,
): Partition[] {
  if (workers.length <= most) return [{ name: WHOLE, workers }];
  const places = new Map<string, works.Worker[]>();
  for (const worker of workers) {
    const { dataCentre } = worker;
    places.set(dataCentre, [...(places.get(dataCentre) ?? []), worker]);
  }
  const isSparse = workers.length < LEAST * places.size;
  if (isSparse) return group(places, Math.ceil(workers.length / most));
  return [...places].flatMap(([place, there]) => divideAt(place, there, most));
}

/** Endpoints of a cell; all of them where hosts do not know the same cells,
 * which is so for a moment when endpoints come or go. */
export function workersOf(
  name: string,
  workers: readonly works.Worker[],
  most = MOST,
): readonly works.Worker[] {
  const cell = partition(workers, most).find((each) => each.name === name);
  return cell?.workers ?? workers;
}

/** Data centre of a cell; undefined of one in several places. */
export function dataCentreOf(name: string): string | undefined {
  const isShared = name === WHOLE || name.startsWith(SHARED);
  return isShared ? undefined : name.slice(0, name.lastIndexOf("/"));
}

/** The cell that makes a request's pieces: one where they are wanted, if any
 * there has endpoints that are sound. */
export function select(
  cells: readonly Partition[],
  { request, dataCentre, isSound }: {
    request: string;
    dataCentre: string;
    isSound(worker: works.Worker): boolean;
  },
): Partition {
  const able = cells.filter(({ workers }) => workers.some(isSound));
  const near = able.filter((cell) =>
    cell.localDataCentres?.includes(dataCentre)
  );
  const candidates = [near, able, cells].find(({ length }) => length > 0)!;
  const [first] = rendezvous.rank(request, candidates.map(({ name }) => name));
  return candidates.find(({ name }) => name === first)!;
}

/** So many cells of neighbours by name, so that endpoints which come and go
 * leave the others where they are. */
function group(
  places: ReadonlyMap<string, readonly works.Worker[]>,
  count: number,
): Partition[] {
  const names = [...places.keys()].sort();
  return Array.from({ length: count }, (_, number) => {
    const near = names.filter((_, pos) =>
      Math.floor(pos * count / names.length) === number
    );
    const workers = near.flatMap((place) => places.get(place)!);
    return {
      name: `${SHARED}${number}.${count}`,
      localDataCentres: near,
      workers,
    };
  });
}

function divideAt(
  dataCentre: string,
  workers: readonly works.Worker[],
  most: number,
): Partition[] {
  const count = Math.ceil(workers.length / most);
  const sorted = [...workers].sort((one, other) =>
    one.address < other.address ? -1 : 1
  );
  return Array.from({ length: count }, (_, number) => ({
    name: `${dataCentre}/${number}.${count}`,
    dataCentre,
    localDataCentres: [dataCentre],
    workers: sorted.filter((_, pos) => pos % count === number),
  }));
}
