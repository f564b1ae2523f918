/** Partitions: disjoint groups of a service's endpoints, each scheduled by a
 * batcher of its own.
 *
 * A single batcher that sees all endpoints fills calls best, but a service with
 * many endpoints needs more processor time and bandwidth than one host has.
 * Endpoints are therefore grouped by data centre, and those of a large data
 * centre are split further. Data centres with few endpoints share partitions: a
 * partition of one or two endpoints is overloaded by bursts that its neighbours
 * could absorb. With 190 hosts and nine endpoints in five data centres, sharing
 * serves .033 more of the value of a burst's requests and .016 more of a steady
 * load's, at the cost of a fifth more bytes between data centres.
 * @module */

import * as rendezvous from "../routing/rendezvous.ts";
import type * as tasks from "./task.ts";

/** Maximum number of endpoints of one partition: the batcher of 10 to 12
 * endpoints took 0.2 of a core on average, and over 7 Mbit/s in bursts
 * (docs/RUNS.md). */
const MAX_ENDPOINTS = 6;
/** Average number of endpoints per data centre from which each data centre has
 * partitions of its own, so that results do not cross data centres. */
const MIN_AVERAGE_ENDPOINTS = 3;
/** Name of the partition that contains all endpoints of a service. */
const ALL_ENDPOINTS = "all";
/** Prefix of the names of partitions that span several data centres. */
const SHARED_PREFIX = "*";

/** A group of endpoints that one batcher assigns calls to. */
export interface Partition {
  /** Equal on all hosts that know the same endpoints. */
  readonly name: string;
  /** Data centre of all its endpoints; undefined if they are in several. */
  readonly dataCentre?: string;
  /** Data centres whose requests prefer this partition; undefined if all do. */
  readonly localDataCentres?: readonly string[];
  readonly workers: readonly tasks.Worker[];
}

/** Identifies a partition of a service. */
export interface PartitionName {
  readonly service: string;
  readonly cell: string;
}

/** Partitions the endpoints of a service into partitions. The health of
 * endpoints is ignored on purpose: if partitions came and went with it,
 * batchers would lose track of the results that endpoints hold. */
export function partition(
  workers: readonly tasks.Worker[],
  maxEndpoints = MAX_ENDPOINTS,
): Partition[] {
  if (workers.length <= maxEndpoints) return [{ name: ALL_ENDPOINTS, workers }];
  const byDataCentre = new Map<string, tasks.Worker[]>();
  for (const worker of workers) {
    const { dataCentre } = worker;
    byDataCentre.set(dataCentre, [
      ...(byDataCentre.get(dataCentre) ?? []),
      worker,
    ]);
  }
  const isSparse = workers.length < MIN_AVERAGE_ENDPOINTS * byDataCentre.size;
  if (isSparse) {
    return groupDataCentres(
      byDataCentre,
      Math.ceil(workers.length / maxEndpoints),
    );
  }
  return [...byDataCentre].flatMap(([dataCentre, local]) =>
    partitionDataCentre(dataCentre, local, maxEndpoints)
  );
}

/** Endpoints of a partition; all endpoints if this host does not know the
 * partition, since hosts disagree about partitions for a moment after endpoints
 * have joined or left. */
export function workersOf(
  name: string,
  workers: readonly tasks.Worker[],
  maxEndpoints = MAX_ENDPOINTS,
): readonly tasks.Worker[] {
  const match = partition(workers, maxEndpoints).find((each) =>
    each.name === name
  );
  return match?.workers ?? workers;
}

/** Data centre of a partition; undefined if the partition spans several. */
export function dataCentreOf(name: string): string | undefined {
  const isShared = name === ALL_ENDPOINTS || name.startsWith(SHARED_PREFIX);
  return isShared ? undefined : name.slice(0, name.lastIndexOf("/"));
}

/** Selects the partition that computes the items of a request: one local to
 * `dataCentre` if any of these has an available endpoint. */
export function select(
  partitions: readonly Partition[],
  { request, dataCentre, isAvailable }: {
    request: string;
    dataCentre: string;
    isAvailable(worker: tasks.Worker): boolean;
  },
): Partition {
  const available = partitions.filter(({ workers }) =>
    workers.some(isAvailable)
  );
  const local = available.filter((partition) =>
    partition.localDataCentres?.includes(dataCentre)
  );
  const candidates = [local, available, partitions].find(({ length }) =>
    length > 0
  )!;
  const [selected] = rendezvous.rank(
    request,
    candidates.map(({ name }) => name),
  );
  return candidates.find(({ name }) => name === selected)!;
}

/** Groups data centres that are adjacent in name order into `count` partitions,
 * so that endpoints which join or leave do not move other data centres between
 * partitions. */
function groupDataCentres(
  byDataCentre: ReadonlyMap<string, readonly tasks.Worker[]>,
  count: number,
): Partition[] {
  const names = [...byDataCentre.keys()].sort();
  return Array.from({ length: count }, (_, index) => {
    const local = names.filter((_, pos) =>
      Math.floor(pos * count / names.length) === index
    );
    const workers = local.flatMap((dataCentre) =>
      byDataCentre.get(dataCentre)!
    );
    return {
      name: `${SHARED_PREFIX}${index}.${count}`,
      localDataCentres: local,
      workers,
    };
  });
}

function partitionDataCentre(
  dataCentre: string,
  workers: readonly tasks.Worker[],
  maxEndpoints: number,
): Partition[] {
  const count = Math.ceil(workers.length / maxEndpoints);
  const sorted = [...workers].sort((one, other) =>
    one.address < other.address ? -1 : 1
  );
  return Array.from({ length: count }, (_, index) => ({
    name: `${dataCentre}/${index}.${count}`,
    dataCentre,
    localDataCentres: [dataCentre],
    workers: sorted.filter((_, pos) => pos % count === index),
  }));
}
