/** Makes pieces for the whole fleet: the batchers of the cells that fall to this
 * host.
 * @module */

import type * as configurations from "../configuration/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as cellBatchers from "./partition_batcher.ts";
import type * as cells from "./partitions.ts";
import type * as works from "./task.ts";

/** What batchers need of their host. */
export interface BatcherOptions extends cellBatchers.BatcherDependencies {
  service(name: string): configurations.Service | undefined;
  /** Endpoints of a cell that take calls. */
  workers(of: cells.PartitionName): readonly works.Worker[];
  /** Whether no endpoint of a cell may get new calls. */
  isEvacuated(of: cells.PartitionName): boolean;
}

/** Batchers of cells. */
export class Batcher {
  readonly #options: BatcherOptions;
  readonly #cells = new Map<string, cellBatchers.PartitionBatcher>();

  private constructor(options: BatcherOptions) {
    this.#options = options;
  }

  static create(options: BatcherOptions): Batcher {
    return new Batcher(options);
  }

  /** Makes pieces; resolves once each is made or cannot be. */
  compute(question: schema.MakeQuestion): Promise<schema.Result[]> {
    const cell = this.#cell(question);
    if (cell !== undefined) return cell.compute(question);
    return Promise.resolve(question.pieces.map((piece) => ({
      piece,
      failure: "unreachable" as const,
    })));
  }

  /** Notes pieces that will be asked for; says when they would be made. */
  reserve(question: schema.BookQuestion): cellBatchers.ReservationEstimate {
    return this.#cell(question)?.reserve(question) ??
      cellBatchers.UNKNOWN_ESTIMATE;
  }

  /** Drops the pieces of a request that have not been begun. */
  cancel(of: cells.PartitionName, request: string): void {
    this.#cells.get(keyOf(of))?.cancel(request);
  }

  /** Gives results up, so that their room is free. */
  release(of: cells.PartitionName, handles: readonly string[]): void {
    this.#cell(of)?.release(handles);
  }

  /** Follows a change of endpoints or of the configuration. */
  update(): void {
    for (const cell of this.#cells.values()) cell.update();
  }

  /** State for people. */
  dump(): unknown {
    return Object.fromEntries(
      [...this.#cells].map(([key, cell]) => [key, cell.dump()]),
    );
  }

  /** Undefined where the service is not known to make pieces. */
  #cell({ service, cell }: cells.PartitionName):
    | cellBatchers.PartitionBatcher
    | undefined {
    const key = keyOf({ service, cell });
    const known = this.#cells.get(key);
    const traits = this.#options.service(service)?.batching;
    if (known !== undefined || traits === undefined) return known;
    let last = traits;
    const made = cellBatchers.PartitionBatcher.create({
      ...this.#options,
      service,
      traits: () => last = this.#options.service(service)?.batching ?? last,
      workers: () => this.#options.workers({ service, cell }),
      isEvacuated: () => this.#options.isEvacuated({ service, cell }),
    });
    this.#cells.set(key, made);
    return made;
  }
}

function keyOf({ service, cell }: cells.PartitionName): string {
  return `${service} ${cell}`;
}
