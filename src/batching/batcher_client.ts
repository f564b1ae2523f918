/** Gets pieces made for the requests of one host: by the host whose batcher
 * serves a cell of the stage's service, or by its own when that one is lost.
 * @module */

import * as peers from "../peers/mod.ts";
import * as memos from "../runtime/memo.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import type * as batchers from "./batcher.ts";
import * as cellBatchers from "./partition_batcher.ts";
import * as cells from "./partitions.ts";
import type * as works from "./task.ts";
import * as seats from "./partition_owners.ts";

/** Hosts that are tried before the own one. */
const TRIES = 2;
/** Milliseconds for which an answer to a booking is waited for. */
const BOOKING = 200;

/** What a maker needs of its host. */
export interface BatcherClientOptions {
  self: string;
  clock: runtime.Clock;
  calls: Pick<peers.Rpc, "ask" | "cast">;
  batcher: batchers.Batcher;
  logger: telemetry.Logger;
  /** What hosts, services and endpoints are derived from: the same parts while
   * they are the same. */
  dependencies(): readonly unknown[];
  /** Hosts that take requests and are ready. */
  entryHosts(): readonly Pick<schema.EntryHost, "host" | "dataCentre">[];
  /** Services that make pieces. */
  services(): readonly string[];
  /** All endpoints of a service that are known. */
  workers(service: string): readonly works.Worker[];
  /** Whether an endpoint takes calls now. */
  isAvailable(worker: works.Worker): boolean;
}

/** Asks batchers. */
export class BatcherClient {
  readonly #options: BatcherClientOptions;
  readonly #leftOut: peers.UnresponsiveHosts;
  readonly #seats = memos.Memo.create<readonly string[]>();

  private constructor(options: BatcherClientOptions) {
    this.#options = options;
    this.#leftOut = peers.UnresponsiveHosts.create(options.clock);
  }

  static create(options: BatcherClientOptions): BatcherClient {
    return new BatcherClient(options);
  }

  /** Name of the cell that makes a request's pieces of a service, wanted in a
   * data centre. */
  selectPartition(
    service: string,
    wanted: { request: string; dataCentre: string },
  ): string {
    const { workers, isAvailable: isSound } = this.#options;
    const divided = cells.partition(workers(service));
    return cells.select(divided, { ...wanted, isSound }).name;
  }

  /** Makes pieces; resolves once each is made or cannot be. */
  async compute(question: schema.MakeQuestion): Promise<schema.Result[]> {
    const { self, clock, calls, batcher, logger } = this.#options;
    const started = clock.now();
    for (const host of this.#hostsFor(question).slice(0, TRIES)) {
      const remaining = question.remaining - (clock.now() - started);
      const asked = { ...question, remaining };
      if (host === self) return batcher.compute(asked);
      try {
        const reply = await calls.ask(host, asked, { timeout: remaining + 50 });
        if (reply.type === "made") return reply.results;
        throw new Error(`answered ${reply.type}`);
      } catch (error) {
        this.#leftOut.add(host);
        const { request, service } = question;
        const reason = `${error}`;
        logger.info({ request, service, host, reason }, "Batcher lost");
      }
    }
    const remaining = question.remaining - (clock.now() - started);
    return batcher.compute({ ...question, remaining });
  }

  /** Books pieces; resolves with when they would be made, or with `UNKNOWN`
   * where nobody says so in time. */
  async reserve(
    question: schema.BookQuestion,
  ): Promise<cellBatchers.ReservationEstimate> {
    const { self, calls, batcher, logger } = this.#options;
    const { service, request } = question;
    const [host] = this.#hostsFor(question);
    if (host === self) return batcher.reserve(question);
    try {
      const reply = await calls.ask(host, question, { timeout: BOOKING });
      return reply.type === "booked" ? reply : cellBatchers.UNKNOWN_ESTIMATE;
    } catch (error) {
      const reason = `${error}`;
      logger.info({ request, service, host, reason }, "Pieces not booked");
      return cellBatchers.UNKNOWN_ESTIMATE;
    }
  }

  /** Gives results up. */
  release(
    { service, cell }: cells.PartitionName,
    handles: readonly string[],
  ): void {
    if (handles.length === 0) return;
    const { self, calls, batcher } = this.#options;
    const [host] = this.#hostsFor({ service, cell });
    if (host === self) return batcher.release({ service, cell }, handles);
    const notice = { service, cell, handles: [...handles] };
    calls.cast(host, { type: "release", ...notice });
  }

  /** Drops pieces of a request that have not been begun. */
  cancel({ service, cell }: cells.PartitionName, request: string): void {
    const { self, calls, batcher } = this.#options;
    const [host] = this.#hostsFor({ service, cell });
    if (host === self) return batcher.cancel({ service, cell }, request);
    calls.cast(host, { type: "drop", service, cell, request });
  }

  /** Hosts that may batch for a cell, those of its data centre where there are
   * any; never empty. */
  #hostsFor(of: cells.PartitionName): string[] {
    // They keep their seats: a host that gave these away would move cells that
    // for all others stay where they are, and two hosts would batch for the same
    // endpoints.
    return this.#leftOut.deprioritize(this.#seatedFor(of));
  }

  #seatedFor({ service, cell }: cells.PartitionName): readonly string[] {
    const key = `${service} ${cell}`;
    return this.#seats.get(
      key,
      this.#options.dependencies(),
      () => this.#seat(key, cells.dataCentreOf(cell)),
    );
  }

  /** Hosts for a cell, which is named with its service. */
  #seat(key: string, place: string | undefined): string[] {
    const { entryHosts: hosts, self } = this.#options;
    const there = hosts();
    const near = there.filter(({ dataCentre }) => dataCentre === place);
    const names = (near.length > 0 ? near : there).map(({ host }) => host);
    return seats.candidatesFor(key, {
      cells: this.#cellsAt(place),
      hosts: names.length > 0 ? names : [self],
    });
  }

  /** Hosts that batch at a data centre, or in several places. */
  partitionOwnersIn(place: string | undefined): string[] {
    return this.#cellsAt(place).map((key) => {
      const [service, cell] = key.split(" ");
      return this.#seatedFor({ service, cell })[0];
    });
  }

  /** Cells of all services at a data centre, or in several places. */
  #cellsAt(place: string | undefined): string[] {
    const { services, workers } = this.#options;
    return services().flatMap((service) =>
      cells.partition(workers(service))
        .filter(({ dataCentre }) => dataCentre === place)
        .map(({ name }) => `${service} ${name}`)
    );
  }
}
