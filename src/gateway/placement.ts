/** Places prompts on engines.
 *
 * In a small fleet all hosts exchange load updates, and each chooses engines
 * itself. In a large fleet that would take a message from each host to every
 * other, so engines are divided into partitions. Each partition has an owner
 * host, which chooses among its engines for all hosts and alone receives the
 * load updates for them. The owner so knows the total load of each engine and
 * which shared prompt parts its prefix cache holds, whichever host sent them.
 *
 * Prompts with the same shared part go to the same partition. All state of an
 * owner is sent again within half a second, so another host can take over;
 * while no owner answers, a host chooses by its own state.
 * @module */

import * as unresponsiveHosts from "../peers/unresponsive_hosts.ts";
import type * as peers from "../peers/mod.ts";
import * as partitions from "../batching/partitions.ts";
import * as memos from "../runtime/memo.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as choices from "./endpoint_choice.ts";
import type * as endpoints from "./endpoint.ts";
import * as endpointPools from "./endpoint_pool.ts";
import type * as protocols from "./protocol.ts";
import * as hostPreference from "../routing/host_preference.ts";
import * as rendezvous from "../routing/rendezvous.ts";

/** Most other hosts to which a host sends load updates directly. An update goes
 * to all of them, up to 50 times a second, so the traffic of a host grows with
 * the fleet. */
const MAX_UPDATE_RECIPIENTS = 11;
/** Most engines of a partition. An owner evaluates each of them for each
 * prompt; larger partitions balance load more evenly. */
const MAX_PARTITION_ENGINES = 16;
/** Milliseconds within which an owner must answer: several times the usual
 * answer time, and a small part of any route's objective. */
const OWNER_TIMEOUT_MS = 150;
/** Expected time to the first event, as a part of the route's objective, above
 * which a second partition is asked too: otherwise all prompts with a popular
 * shared part would stay on the engines of one partition. */
const SLOW_OBJECTIVE_RATIO = 0.25;

/** A prompt to be placed. */
export interface PlacementQuery {
  readonly service: string;
  readonly prompt: protocols.Prompt;
  /** Milliseconds within which its first event is wanted. */
  readonly objective: number;
  /** Engine near which the request's inputs were produced. */
  readonly planned?: endpoints.Endpoint;
  /** Version that the engine must have; undefined while any will do. */
  readonly version?: string;
  /** Ids of the engines already called for the request. */
  readonly tried: readonly string[];
  /** Whether the call is sent now; otherwise this is a forecast, which reserves
   * no load. */
  readonly isSent: boolean;
}

/** Which host chose an engine: this one, the owner of the partition, or this
 * one because no owner gave an engine. */
export type PlacementSource = "self" | "owner" | "fallback";

/** The engine chosen for a prompt, and which host chose it. */
export interface PlacementResult extends choices.EngineChoice {
  readonly source: PlacementSource;
}

/** Dependencies of a placement. */
export interface PlacementOptions {
  readonly self: string;
  readonly dataCentre: string;
  readonly clock: runtime.Clock;
  readonly random: runtime.Random;
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
  readonly calls: Pick<peers.Rpc, "ask" | "cast">;
  readonly pool: endpointPools.EndpointPool;
  /** Values from which hosts, partitions and owners are derived; derived
   * results are memoized while all of them are unchanged. */
  dependencies(): readonly unknown[];
  /** Ready hosts that serve callers. */
  hosts(): readonly Omit<schema.EntryHost, "ready" | "age">[];
  /** Hosts that already do other work for the fleet in a data centre or across
   * data centres. */
  busyHosts(dataCentre: string | undefined): readonly string[];
}

/** Chooses engines for prompts, by itself or through partition owners. */
export class Placement {
  readonly #options: PlacementOptions;
  readonly #unresponsive: unresponsiveHosts.UnresponsiveHosts;
  readonly #rankedOwners = memos.Memo.create<readonly string[]>();
  readonly #partitions = memos.Memo.create<readonly partitions.Partition[]>();

  private constructor(options: PlacementOptions) {
    this.#options = options;
    this.#unresponsive = unresponsiveHosts.UnresponsiveHosts.create(
      options.clock,
    );
  }

  static create(options: PlacementOptions): Placement {
    return new Placement(options);
  }

  /** Resolves with the engine for a prompt; undefined if none accepts it. */
  async place(query: PlacementQuery): Promise<PlacementResult | undefined> {
    if (query.version === "") return undefined;
    const placed = this.#isSmall
      ? this.#chooseLocally(query, "self")
      : await this.#placeByOwners(query);
    const source = placed?.source ?? "none";
    this.#options.metrics.count("gateway.placed", 1, { by: source });
    return placed;
  }

  /** Answers another host's query for an engine of a partition. */
  answerQuery(question: schema.PlaceQuestion, from: string): schema.Reply {
    const { service, partition, prompt, tried, sent, version } = question;
    const { pool, clock } = this.#options;
    const planned = pool.get(question.planned ?? "");
    const chosen = this.#chooseInPartition(partition, {
      service,
      prompt,
      tried,
      planned,
      version,
      isSent: sent,
    });
    if (chosen === undefined) return { type: "failed", reason: "unreachable" };
    const {
      engine,
      firstEventTime,
      slowness,
      cacheMiss,
      pendingWork,
    } = chosen;
    if (sent) {
      engine.remoteLoad.reserve(from, cacheMiss.prefillTokens, clock.now());
      engine.cachedPrefixes?.insert(prompt);
      engine.rejections.recordCall(clock.now());
    }
    const {
      prefillTokens,
      fetchTokens,
      fetchTime,
      source,
    } = cacheMiss;
    return {
      type: "placed",
      engine: engine.identity.id,
      ...(source && { source: source.identity.id }),
      read: prefillTokens,
      fetched: fetchTokens,
      fetchTime,
      firstEvent: firstEventTime,
      work: pendingWork,
      ...(slowness !== 1 && { slowness }),
    };
  }

  /** Sends this host's load on engines to the hosts that choose them. */
  sendLoad(loads: readonly schema.EngineUse[]): void {
    const { calls } = this.#options;
    for (const [host, updates] of this.#updatesByHost(loads)) {
      calls.cast(host, { type: "use", uses: updates });
    }
  }

  get #isSmall(): boolean {
    return this.#options.hosts().length <= MAX_UPDATE_RECIPIENTS + 1;
  }

  /** The load updates that each host is sent. */
  #updatesByHost(
    loads: readonly schema.EngineUse[],
  ): Map<string, schema.EngineUse[]> {
    const { self, hosts, pool } = this.#options;
    const recipients = new Map<string, schema.EngineUse[]>();
    if (this.#isSmall) {
      for (const { host } of hosts()) {
        if (host !== self) recipients.set(host, [...loads]);
      }
      return recipients;
    }
    for (const load of loads) {
      const engine = pool.get(load.engine);
      if (engine === undefined) continue;
      const partition = this.#partitionOf(engine);
      const owner = this.#ownerOf(engine.identity.service, partition);
      if (owner === self) continue;
      recipients.set(owner, [...recipients.get(owner) ?? [], load]);
    }
    return recipients;
  }

  /** Asks the owner of the prompt's partition, and the owner of the next one if
   * the first event would take long there. */
  async #placeByOwners(
    query: PlacementQuery,
  ): Promise<PlacementResult | undefined> {
    const [first, second] = this.#partitionsFor(query);
    if (first === undefined) return this.#chooseLocally(query, "fallback");
    const placed = await this.#placeInPartition(first, query);
    const isSlow = placed !== undefined &&
      placed.firstEventTime > SLOW_OBJECTIVE_RATIO * query.objective;
    if (second === undefined || (placed !== undefined && !isSlow)) {
      return placed ?? this.#chooseLocally(query, "fallback");
    }
    const other = await this.#placeInPartition(second, query);
    const placements = [placed, other].filter((each) => each !== undefined);
    if (placements.length === 0) return this.#chooseLocally(query, "fallback");
    return placements.reduce((best, each) =>
      each.firstEventTime < best.firstEventTime ? each : best
    );
  }

  async #placeInPartition(
    partition: string,
    query: PlacementQuery,
  ): Promise<PlacementResult | undefined> {
    const { self, calls, logger } = this.#options;
    const owner = this.#ownerOf(query.service, partition);
    if (owner === self) {
      const chosen = this.#chooseInPartition(partition, query);
      return chosen && { ...chosen, source: "self" };
    }
    if (this.#unresponsive.has(owner)) return undefined;
    try {
      const reply = await calls.ask(owner, createQuestion(partition, query), {
        timeout: OWNER_TIMEOUT_MS,
      });
      return this.#decodeReply(reply, query);
    } catch (error) {
      this.#unresponsive.add(owner);
      const reason = `${error}`;
      logger.info(
        { owner, partition, reason },
        "Partition owner failed to answer; skipping it for a while",
      );
      return undefined;
    }
  }

  #decodeReply(
    reply: schema.Reply,
    { version }: PlacementQuery,
  ): PlacementResult | undefined {
    const { pool, clock } = this.#options;
    if (reply.type !== "placed") return undefined;
    const engine = pool.get(reply.engine);
    // An owner may learn of an engine a few hundred milliseconds earlier, and
    // does not know what the engine has announced to this host.
    if (!engine?.isAccepting(clock.now())) return undefined;
    // An owner of an earlier release does not know the condition.
    if (endpointPools.ofVersion([engine], version).length === 0) {
      return undefined;
    }
    const { read, fetched, fetchTime, firstEvent, work, slowness = 1 } = reply;
    const source = pool.get(reply.source ?? "");
    const isSameVersion = source?.identity.version === engine.identity.version;
    const cacheMiss = {
      prefillTokens: read,
      fetchTokens: fetched,
      fetchTime,
      source: isSameVersion ? source : undefined,
    };
    return {
      engine,
      firstEventTime: firstEvent,
      slowness,
      cacheMiss,
      pendingWork: work,
      source: "owner",
    };
  }

  /** Chooses among all engines of a service by this host's own state. */
  #chooseLocally(
    { service, prompt, planned, version, tried }: PlacementQuery,
    source: PlacementSource,
  ): PlacementResult | undefined {
    const { pool, clock, random, dataCentre } = this.#options;
    const now = clock.now();
    const usable = pool.usable(service, now, version);
    const chosen = choices.chooseEngine(usable, prompt, {
      now,
      random,
      dataCentre,
      planned,
      tried,
    });
    return chosen && { ...chosen, source };
  }

  #chooseInPartition(
    partition: string,
    { service, prompt, planned, version, tried }: Omit<
      PlacementQuery,
      "objective"
    >,
  ): choices.EngineChoice | undefined {
    const { clock, random, dataCentre } = this.#options;
    const now = clock.now();
    const engines = endpointPools.usableOf(
      endpointPools.ofVersion(this.#enginesIn(partition, service), version),
      now,
    );
    return choices.chooseEngine(engines, prompt, {
      now,
      random,
      dataCentre,
      planned,
      tried,
    });
  }

  #enginesIn(partition: string, service: string): endpoints.Endpoint[] {
    const { pool } = this.#options;
    const found = this.#partitionsOf(service).find(({ name }) =>
      name === partition
    );
    return (found?.workers ?? []).flatMap(({ id }) => pool.get(id) ?? []);
  }

  /** Partitions with a healthy engine, in order of preference: that of the
   * planned engine first, then by rendezvous hash of the shared part. */
  #partitionsFor(
    { service, prompt, planned, version }: PlacementQuery,
  ): string[] {
    const now = this.#options.clock.now();
    const names = this.#partitionsOf(service)
      .filter(({ name }) =>
        endpointPools.ofVersion(this.#enginesIn(name, service), version)
          .some((each) => each.isHealthy(now))
      )
      .map(({ name }) => name);
    const ranked = rendezvous.rank(partitionKey(prompt), names);
    if (planned === undefined) return ranked;
    const first = this.#partitionOf(planned);
    if (version !== undefined && !names.includes(first)) return ranked;
    return [first, ...ranked.filter((name) => name !== first)];
  }

  #partitionOf({ identity }: endpoints.Endpoint): string {
    const found = this.#partitionsOf(identity.service).find(({ workers }) =>
      workers.some(({ id }) => id === identity.id)
    );
    return found?.name ?? "";
  }

  #partitionsOf(service: string): readonly partitions.Partition[] {
    const { pool, dependencies } = this.#options;
    return this.#partitions.get(service, dependencies(), () => {
      const workers = pool.endpointsOf(service).map(({ identity }) => identity);
      return partitions.partition(workers, MAX_PARTITION_ENGINES);
    });
  }

  /** The host that owns a partition: preferably one in the data centre of its
   * engines, and preferably one without other work for the fleet. */
  #ownerOf(service: string, partition: string): string {
    const { dependencies } = this.#options;
    const key = `${service} ${partition}`;
    const ranked = this.#rankedOwners.get(
      key,
      dependencies(),
      () => this.#rankOwners(key, partitions.dataCentreOf(partition)),
    );
    return this.#unresponsive.deprioritize(ranked)[0];
  }

  #rankOwners(key: string, engineDataCentre: string | undefined): string[] {
    const { self, hosts, busyHosts } = this.#options;
    const all = hosts();
    const near = all.filter(({ dataCentre }) =>
      dataCentre === engineDataCentre
    );
    const busy = new Set(busyHosts(engineDataCentre));
    const ranked = hostPreference.rankHosts(key, near.length > 0 ? near : all);
    const owners = [
      ...ranked.filter((host) => !busy.has(host)),
      ...ranked.filter((host) => busy.has(host)),
    ];
    return owners.length > 0 ? owners : [self];
  }
}

/** Hash key of a prompt's partition: its last shared part, which the part of
 * the request alone follows. */
function partitionKey({ parts }: protocols.Prompt): string {
  return (parts.at(-2) ?? parts.at(-1))?.id ?? "";
}

function createQuestion(
  partition: string,
  { service, prompt, planned, version, tried, isSent }: PlacementQuery,
): schema.PlaceQuestion {
  const { model, inputTokens, outputTokens, parts } = prompt;
  return {
    type: "place",
    service,
    partition,
    prompt: { model, inputTokens, outputTokens, parts: [...parts] },
    ...(planned && { planned: planned.identity.id }),
    ...(version !== undefined && { version }),
    tried: [...tried],
    sent: isSent,
  };
}
