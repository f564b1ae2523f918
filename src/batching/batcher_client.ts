/** Submits the items of one host's requests to the host that owns the
 * partition, or to the batcher of this host when the owner does not respond.
 * @module */

import * as peers from "../peers/mod.ts";
import * as rendezvous from "../routing/rendezvous.ts";
import * as memos from "../runtime/memo.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import type * as batchers from "./batcher.ts";
import * as errors from "./errors.ts";
import * as partitionBatchers from "./partition_batcher.ts";
import * as partitions from "./partitions.ts";
import type * as tasks from "./task.ts";
import * as partitionOwners from "./partition_owners.ts";

/** Number of hosts that are tried before the batcher of this host. */
const MAX_REMOTE_ATTEMPTS = 2;
/** Timeout of a reservation. */
const RESERVATION_TIMEOUT_MS = 200;

/** Options of a `BatcherClient`. */
export interface BatcherClientOptions {
  self: string;
  clock: runtime.Clock;
  calls: Pick<peers.Rpc, "ask" | "cast">;
  batcher: batchers.Batcher;
  logger: telemetry.Logger;
  /** Values that hosts, services and endpoints are derived from; rankings are
   * cached while all of these are identical. */
  dependencies(): readonly unknown[];
  /** Entry hosts that are ready. */
  entryHosts(): readonly Omit<schema.EntryHost, "ready" | "age">[];
  /** Services that compute items. */
  services(): readonly string[];
  /** All known endpoints of a service, whether available or not. */
  workers(service: string): readonly tasks.Worker[];
  /** Whether an endpoint accepts calls now. */
  isAvailable(worker: tasks.Worker): boolean;
}

/** Estimate of a partition's owner. */
export interface OwnerEstimate extends partitionBatchers.ReservationEstimate {
  /** The owner; absent if there is none. */
  readonly host?: string;
}

/** A request, and the data centre for which its items are computed. */
export interface Consumer {
  readonly request: string;
  readonly dataCentre: string;
}

/** Client of the batchers of all partitions. */
export class BatcherClient {
  readonly #options: BatcherClientOptions;
  readonly #unresponsive: peers.UnresponsiveHosts;
  readonly #rankings = memos.Memo.create<readonly string[]>();

  private constructor(options: BatcherClientOptions) {
    this.#options = options;
    this.#unresponsive = peers.UnresponsiveHosts.create(options.clock);
  }

  static create(options: BatcherClientOptions): BatcherClient {
    return new BatcherClient(options);
  }

  /** Selects the partition that computes the items of a request for a service;
   * returns its name. */
  selectPartition(service: string, consumer: Consumer): string {
    const { workers, isAvailable } = this.#options;
    const all = partitions.partition(workers(service));
    return partitions.select(all, { ...consumer, isAvailable }).name;
  }

  /** Data centres beside the consumer's that have partitions for all of the
   * services, at least one of them another than the consumer's data centre has.
   * Their order differs from request to request. */
  dataCentresBeside(
    services: readonly string[],
    { request, dataCentre }: Consumer,
  ): string[] {
    const { workers, isAvailable } = this.#options;
    const partitioned = services.map((service) =>
      partitions.partition(workers(service))
    );
    const others = new Set(
      partitioned.flat().flatMap(({ localDataCentres = [] }) =>
        localDataCentres
      ),
    );
    others.delete(dataCentre);
    const candidates = [...others].filter((other) => {
      const local = partitioned.map((all) => {
        const consumer = { request, dataCentre: other, isAvailable };
        return partitions.select(all, consumer).localDataCentres;
      });
      return local.every((names) => names?.includes(other) ?? true) &&
        local.some((names) => names?.includes(dataCentre) === false);
    });
    return rendezvous.rank(request, candidates);
  }

  /** Computes items; resolves once each has a result or has failed. */
  async compute(question: schema.MakeQuestion): Promise<schema.Result[]> {
    const { self, clock, calls, batcher, logger } = this.#options;
    const started = clock.now();
    for (
      const host of this.#candidatesFor(question).slice(0, MAX_REMOTE_ATTEMPTS)
    ) {
      const remaining = question.remaining - (clock.now() - started);
      const forwarded = { ...question, remaining };
      if (host === self) return batcher.compute(forwarded);
      try {
        const reply = await calls.ask(host, forwarded, {
          timeout: remaining + 50,
        });
        return resultsOf(reply, question);
      } catch (error) {
        this.#unresponsive.add(host);
        const { request, service } = question;
        const reason = `${error}`;
        logger.info(
          { request, service, host, reason },
          "Partition owner did not compute the items; trying the next host",
        );
      }
    }
    const remaining = question.remaining - (clock.now() - started);
    return batcher.compute({ ...question, remaining });
  }

  /** Reserves items; resolves with the estimate of the partition's owner, or
   * with `UNKNOWN_ESTIMATE` if it does not respond in time. */
  async reserve(question: schema.BookQuestion): Promise<OwnerEstimate> {
    const [host] = this.#candidatesFor(question);
    return { host, ...await this.#reserveAt(host, question) };
  }

  async #reserveAt(
    host: string,
    question: schema.BookQuestion,
  ): Promise<partitionBatchers.ReservationEstimate> {
    const { self, calls, batcher, logger } = this.#options;
    const { service, request } = question;
    if (host === self) return batcher.reserve(question);
    try {
      const reply = await calls.ask(host, question, {
        timeout: RESERVATION_TIMEOUT_MS,
      });
      return reply.type === "booked"
        ? reply
        : partitionBatchers.UNKNOWN_ESTIMATE;
    } catch (error) {
      const reason = `${error}`;
      logger.info(
        { request, service, host, reason },
        "Partition owner did not answer a reservation; assuming no wait",
      );
      return partitionBatchers.UNKNOWN_ESTIMATE;
    }
  }

  /** Releases results. */
  release(
    { service, cell }: partitions.PartitionName,
    handles: readonly string[],
  ): void {
    if (handles.length === 0) return;
    const { self, calls, batcher } = this.#options;
    const [host] = this.#candidatesFor({ service, cell });
    if (host === self) return batcher.release({ service, cell }, handles);
    const notice = { service, cell, handles: [...handles] };
    calls.cast(host, { type: "release", ...notice });
  }

  /** Cancels the items of a request that have not started. */
  cancel({ service, cell }: partitions.PartitionName, request: string): void {
    const { self, calls, batcher } = this.#options;
    const [host] = this.#candidatesFor({ service, cell });
    if (host === self) return batcher.cancel({ service, cell }, request);
    calls.cast(host, { type: "drop", service, cell, request });
  }

  /** Hosts that may batch for a partition, the owner first; those of the
   * partition's data centre if there are any. Never empty. */
  #candidatesFor(partition: partitions.PartitionName): string[] {
    // Hosts that did not respond move to the end only after owners are
    // assigned: excluding them from the assignment would move partitions that
    // stay with their owner on all other hosts, and two hosts would batch for
    // the same endpoints.
    return this.#unresponsive.deprioritize(this.#rankingOf(partition));
  }

  #rankingOf({ service, cell }: partitions.PartitionName): readonly string[] {
    const key = `${service} ${cell}`;
    return this.#rankings.get(
      key,
      this.#options.dependencies(),
      () => this.#rank(key, partitions.dataCentreOf(cell)),
    );
  }

  /** Ranks the hosts for a partition, whose key contains its service. */
  #rank(key: string, location: string | undefined): string[] {
    const { entryHosts, self } = this.#options;
    const ready = entryHosts();
    const local = ready.filter(({ dataCentre }) => dataCentre === location);
    const hosts = local.length > 0 ? local : ready;
    return partitionOwners.candidatesFor(key, {
      partitions: this.#partitionKeysIn(location),
      hosts: hosts.length > 0 ? hosts : [{ host: self }],
    });
  }

  /** Owners of the partitions of a data centre, or of the partitions that span
   * several if `location` is undefined. */
  partitionOwnersIn(location: string | undefined): string[] {
    return this.#partitionKeysIn(location).map((key) => {
      const [service, cell] = key.split(" ");
      return this.#rankingOf({ service, cell })[0];
    });
  }

  /** Keys of the partitions of all services in a data centre, or of those that
   * span several. */
  #partitionKeysIn(location: string | undefined): string[] {
    const { services, workers } = this.#options;
    return services().flatMap((service) =>
      partitions.partition(workers(service))
        .filter(({ dataCentre }) => dataCentre === location)
        .map(({ name }) => `${service} ${name}`)
    );
  }
}

/** Fields of a question that its reply repeats. */
const REPEATED_FIELDS = ["service", "request", "stage"] as const;

/** Returns the results in a reply. Throws if they were made for another
 * question: an endpoint that still holds them would run this request with
 * inputs of another one. */
function resultsOf(
  reply: schema.Reply,
  question: schema.MakeQuestion,
): schema.Result[] {
  if (reply.type !== "made") {
    throw new errors.BatchingError(
      `expected reply "made", got "${reply.type}"`,
    );
  }
  for (const field of REPEATED_FIELDS) {
    const [expected, received] = [
      question[field],
      reply[field] ?? question[field],
    ];
    if (received !== expected) {
      throw new errors.BatchingError(
        `expected results of ${field} "${expected}", got "${received}"`,
      );
    }
  }
  const asked = new Set(question.pieces);
  const foreign = reply.results.find(({ piece }) => !asked.has(piece));
  if (foreign === undefined) return reply.results;
  throw new errors.BatchingError(
    `got a result of piece ${foreign.piece}, which was not asked for`,
  );
}
