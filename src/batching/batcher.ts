/** Computes items on behalf of all hosts: holds the batchers of the partitions
 * that this host owns.
 * @module */

import type * as configurations from "../configuration/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as partitionBatchers from "./partition_batcher.ts";
import * as receivedHandles from "./received_handles.ts";
import type * as partitions from "./partitions.ts";
import type * as tasks from "./task.ts";

/** Dependencies of the batchers of one host. */
export interface BatcherOptions extends partitionBatchers.BatcherDependencies {
  service(name: string): configurations.Service | undefined;
  /** Endpoints of a partition that accept calls. */
  workers(partition: partitions.PartitionName): readonly tasks.Worker[];
  /** Whether no endpoint of the partition accepts calls any more: each is
   * evacuated or leaving. */
  isClosed(partition: partitions.PartitionName): boolean;
  /** Milliseconds until the first endpoint of a partition accepts calls again by
   * what endpoints have announced; 0 if one does now. */
  resumesIn(partition: partitions.PartitionName): number;
}

/** The batchers of this host, created on first use of a partition. */
export class Batcher {
  readonly #options: BatcherOptions;
  readonly #receivedHandles = receivedHandles.ReceivedHandles.create();
  readonly #batchers = new Map<string, partitionBatchers.PartitionBatcher>();

  private constructor(options: BatcherOptions) {
    this.#options = options;
  }

  static create(options: BatcherOptions): Batcher {
    return new Batcher(options);
  }

  /** Computes items; resolves once each has a result or has failed. */
  compute(question: schema.MakeQuestion): Promise<schema.Result[]> {
    const batcher = this.#batcherOf(question);
    if (batcher !== undefined) return batcher.compute(question);
    return Promise.resolve(question.pieces.map((piece) => ({
      piece,
      failure: "unreachable" as const,
    })));
  }

  /** Records items that a request will submit later; returns an estimate of
   * when they would start. */
  reserve(
    question: schema.BookQuestion,
  ): partitionBatchers.ReservationEstimate {
    return this.#batcherOf(question)?.reserve(question) ??
      partitionBatchers.UNKNOWN_ESTIMATE;
  }

  /** Cancels the items of a request that have not started. */
  cancel(partition: partitions.PartitionName, request: string): void {
    this.#batchers.get(keyOf(partition))?.cancel(request);
  }

  /** Releases results, which frees the memory that they take. */
  release(
    partition: partitions.PartitionName,
    handles: readonly string[],
  ): void {
    this.#batcherOf(partition)?.release(handles);
  }

  /** Whether no items are queued or computed. */
  get isIdle(): boolean {
    return [...this.#batchers.values()].every(({ isIdle }) => isIdle);
  }

  /** Applies a change of the endpoints or of the configuration. */
  update(): void {
    for (const batcher of this.#batchers.values()) batcher.update();
  }

  /** State for the state dump. */
  dump(): unknown {
    return Object.fromEntries(
      [...this.#batchers].map(([key, batcher]) => [key, batcher.dump()]),
    );
  }

  /** The batcher of a partition; undefined if the configuration has no such
   * service or the service does not compute items. */
  #batcherOf({ service, cell }: partitions.PartitionName):
    | partitionBatchers.PartitionBatcher
    | undefined {
    const key = keyOf({ service, cell });
    const existing = this.#batchers.get(key);
    const traits = this.#options.service(service)?.batching;
    if (existing !== undefined || traits === undefined) return existing;
    let lastTraits = traits;
    const batcher = partitionBatchers.PartitionBatcher.create({
      ...this.#options,
      receivedHandles: this.#receivedHandles,
      service,
      traits: () =>
        lastTraits = this.#options.service(service)?.batching ?? lastTraits,
      workers: () => this.#options.workers({ service, cell }),
      isClosed: () => this.#options.isClosed({ service, cell }),
      resumesIn: () => this.#options.resumesIn({ service, cell }),
    });
    this.#batchers.set(key, batcher);
    return batcher;
  }
}

function keyOf({ service, cell }: partitions.PartitionName): string {
  return `${service} ${cell}`;
}
