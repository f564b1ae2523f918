/** Where prompts go. In a small fleet hosts tell each other what they have
 * engines do, and each chooses for itself. In a large one that would be a
 * message of each to each, so engines are divided into partitions: all hosts
 * have the owner of a partition choose among its engines, and tell it alone what
 * becomes of their calls there. So somebody knows the whole load of each engine,
 * and which shared parts it has read, whichever host sent them.
 *
 * Prompts that share a part go to the same partition. An owner keeps nothing
 * that is not told again within half a second, so that another host can take its
 * place; while none answers, a host chooses by what it knows itself.
 * @module */

import * as leftOuts from "../peers/unresponsive_hosts.ts";
import type * as peers from "../peers/mod.ts";
import * as cells from "../batching/partitions.ts";
import * as memos from "../runtime/memo.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as choice from "./endpoint_choice.ts";
import type * as endpoint from "./endpoint.ts";
import * as pools from "./endpoint_pool.ts";
import type * as protocols from "./protocol.ts";
import * as rendezvous from "../routing/rendezvous.ts";

/** Most other hosts that are told what a host has engines do. Each word goes to
 * all of them, 50 times a second at most, so that what a host sends and hears
 * grows with the fleet. */
const TOLD = 11;
/** Most engines of a partition. An owner looks at each of them for each prompt;
 * the more it has, the more evenly they are used. */
const MOST = 16;
/** Milliseconds in which an owner answers: some times what it takes, and a small
 * part of any objective. */
const PATIENCE = 150;
/** Part of a route's objective that a first event may take before another
 * partition is asked too: a shared part that many prompts have would else keep
 * all of them at its engines. */
const SLOW = 0.25;

/** A prompt that is to be placed. */
export interface PlacementQuery {
  readonly service: string;
  readonly prompt: protocols.Prompt;
  /** Milliseconds within which its first event is wanted. */
  readonly objective: number;
  /** Engine that its inputs were made near. */
  readonly planned?: endpoint.Endpoint;
  /** Engines that were called for the request before, by their ids. */
  readonly tried: readonly string[];
  /** Whether it is sent now; else this is a forecast. */
  readonly isSent: boolean;
}

/** Who chose an engine. */
export type PlacementSource = "self" | "owner" | "fallback";

/** Where a prompt goes, and who said so. */
export interface PlacementResult extends choice.EngineChoice {
  readonly source: PlacementSource;
}

/** What placement needs of its host. */
export interface PlacementOptions {
  readonly self: string;
  readonly dataCentre: string;
  readonly clock: runtime.Clock;
  readonly random: runtime.Random;
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
  readonly calls: Pick<peers.Rpc, "ask" | "cast">;
  readonly pool: pools.EndpointPool;
  /** What hosts and their work are derived from: the same parts while they are
   * the same. */
  dependencies(): readonly unknown[];
  /** Hosts that take requests and are ready. */
  hosts(): readonly Pick<schema.EntryHost, "host" | "dataCentre">[];
  /** Hosts that have other work for the fleet at a data centre, or in several
   * places. */
  busyHosts(dataCentre: string | undefined): readonly string[];
}

/** Chooses engines, or has them chosen. */
export class Placement {
  readonly #options: PlacementOptions;
  readonly #leftOut: leftOuts.UnresponsiveHosts;
  readonly #ranked = memos.Memo.create<readonly string[]>();
  readonly #partitions = memos.Memo.create<readonly cells.Partition[]>();

  private constructor(options: PlacementOptions) {
    this.#options = options;
    this.#leftOut = leftOuts.UnresponsiveHosts.create(options.clock);
  }

  static create(options: PlacementOptions): Placement {
    return new Placement(options);
  }

  /** The engine for a prompt; undefined where none takes it. */
  async place(query: PlacementQuery): Promise<PlacementResult | undefined> {
    const placed = this.#isSmall
      ? this.#choose(query, "self")
      : await this.#placeByOwners(query);
    const by = placed?.source ?? "none";
    this.#options.metrics.count("gateway.placed", 1, { by });
    return placed;
  }

  /** Chooses among the engines of a partition for another host. */
  answer(question: schema.PlaceQuestion, from: string): schema.Reply {
    const { service, partition, prompt, tried, sent } = question;
    const { pool, clock } = this.#options;
    const planned = pool.get(question.planned ?? "");
    const chosen = this.#chooseIn(partition, {
      service,
      prompt,
      tried,
      planned,
      isSent: sent,
    });
    if (chosen === undefined) return { type: "failed", reason: "unreachable" };
    const {
      engine,
      firstEventTime: firstEvent,
      cacheMiss: lack,
      pendingWork: work,
    } = chosen;
    if (sent) {
      engine.remoteLoad.reserve(from, lack.prefillTokens, clock.now());
      engine.cachedPrefixes?.insert(prompt);
    }
    const { prefillTokens: read, fetchTokens: fetched, fetchTime, source } =
      lack;
    return {
      type: "placed",
      engine: engine.identity.id,
      ...(source && { source: source.identity.id }),
      read,
      fetched,
      fetchTime,
      firstEvent,
      work,
    };
  }

  /** Tells those who choose what this host has engines do. */
  sendLoad(uses: readonly schema.EngineUse[]): void {
    const { calls } = this.#options;
    for (const [host, some] of this.#hearers(uses)) {
      calls.cast(host, { type: "use", uses: some });
    }
  }

  get #isSmall(): boolean {
    return this.#options.hosts().length <= TOLD + 1;
  }

  /** What each host is to hear of some uses. */
  #hearers(
    uses: readonly schema.EngineUse[],
  ): Map<string, schema.EngineUse[]> {
    const { self, hosts, pool } = this.#options;
    const hearers = new Map<string, schema.EngineUse[]>();
    if (this.#isSmall) {
      for (const { host } of hosts()) {
        if (host !== self) hearers.set(host, [...uses]);
      }
      return hearers;
    }
    for (const use of uses) {
      const engine = pool.get(use.engine);
      if (engine === undefined) continue;
      const partition = this.#partitionOf(engine);
      const owner = this.#ownerOf(engine.identity.service, partition);
      if (owner === self) continue;
      hearers.set(owner, [...hearers.get(owner) ?? [], use]);
    }
    return hearers;
  }

  /** Asks the owner of the partition that a prompt belongs to, and that of the
   * next one where it would take long there. */
  async #placeByOwners(
    query: PlacementQuery,
  ): Promise<PlacementResult | undefined> {
    const [first, second] = this.#partitionsFor(query);
    if (first === undefined) return this.#choose(query, "fallback");
    const placed = await this.#placeIn(first, query);
    const isSlow = placed !== undefined &&
      placed.firstEventTime > SLOW * query.objective;
    if (second === undefined || (placed !== undefined && !isSlow)) {
      return placed ?? this.#choose(query, "fallback");
    }
    const other = await this.#placeIn(second, query);
    const all = [placed, other].filter((each) => each !== undefined);
    if (all.length === 0) return this.#choose(query, "fallback");
    return all.reduce((best, each) =>
      each.firstEventTime < best.firstEventTime ? each : best
    );
  }

  async #placeIn(
    partition: string,
    query: PlacementQuery,
  ): Promise<PlacementResult | undefined> {
    const { self, calls, logger } = this.#options;
    const owner = this.#ownerOf(query.service, partition);
    if (owner === self) {
      const chosen = this.#chooseIn(partition, query);
      return chosen && { ...chosen, source: "self" };
    }
    if (this.#leftOut.has(owner)) return undefined;
    try {
      const reply = await calls.ask(owner, questionOf(partition, query), {
        timeout: PATIENCE,
      });
      return this.#read(reply);
    } catch (error) {
      this.#leftOut.add(owner);
      const reason = `${error}`;
      logger.info({ owner, partition, reason }, "Owner of engines lost");
      return undefined;
    }
  }

  #read(reply: schema.Reply): PlacementResult | undefined {
    const { pool } = this.#options;
    if (reply.type !== "placed") return undefined;
    const engine = pool.get(reply.engine);
    // An owner may know of an engine some hundred milliseconds sooner.
    if (engine === undefined || !engine.isAccepting) return undefined;
    const { read, fetched, fetchTime, firstEvent, work } = reply;
    const source = pool.get(reply.source ?? "");
    const lack = {
      prefillTokens: read,
      fetchTokens: fetched,
      fetchTime,
      source,
    };
    return {
      engine,
      firstEventTime: firstEvent,
      cacheMiss: lack,
      pendingWork: work,
      source: "owner",
    };
  }

  /** Chooses among all engines of a service, by what this host knows. */
  #choose(
    { service, prompt, planned, tried }: PlacementQuery,
    by: PlacementSource,
  ): PlacementResult | undefined {
    const { pool, clock, random, dataCentre } = this.#options;
    const now = clock.now();
    const chosen = choice.chooseEngine(pool.usable(service, now), prompt, {
      now,
      random,
      dataCentre,
      planned,
      tried,
    });
    return chosen && { ...chosen, source: by };
  }

  #chooseIn(
    partition: string,
    { service, prompt, planned, tried }: Omit<PlacementQuery, "objective">,
  ): choice.EngineChoice | undefined {
    const { clock, random, dataCentre } = this.#options;
    const now = clock.now();
    const engines = pools.usableOf(this.#enginesOf(partition, service), now);
    return choice.chooseEngine(engines, prompt, {
      now,
      random,
      dataCentre,
      planned,
      tried,
    });
  }

  #enginesOf(partition: string, service: string): endpoint.Endpoint[] {
    const { pool } = this.#options;
    const found = this.#divided(service).find(({ name }) => name === partition);
    return (found?.workers ?? []).flatMap(({ id }) => pool.get(id) ?? []);
  }

  /** Partitions of a prompt, that of its planned engine or of its shared part
   * first; only those where an engine takes it. */
  #partitionsFor({ service, prompt, planned }: PlacementQuery): string[] {
    const now = this.#options.clock.now();
    const names = this.#divided(service)
      .filter(({ name }) =>
        this.#enginesOf(name, service).some((each) => each.isHealthy(now))
      )
      .map(({ name }) => name);
    const ranked = rendezvous.rank(keyOf(prompt), names);
    if (planned === undefined) return ranked;
    const first = this.#partitionOf(planned);
    return [first, ...ranked.filter((name) => name !== first)];
  }

  #partitionOf({ identity }: endpoint.Endpoint): string {
    const found = this.#divided(identity.service).find(({ workers }) =>
      workers.some(({ id }) => id === identity.id)
    );
    return found?.name ?? "";
  }

  #divided(service: string): readonly cells.Partition[] {
    const { pool, dependencies: basis } = this.#options;
    return this.#partitions.get(service, basis(), () => {
      const workers = pool.endpointsOf(service).map(({ identity }) => identity);
      return cells.partition(workers, MOST);
    });
  }

  /** The host that chooses among the engines of a partition, in their data
   * centre where there is one; one without other work for the fleet where there
   * is one. */
  #ownerOf(service: string, partition: string): string {
    const { dependencies: basis } = this.#options;
    const key = `${service} ${partition}`;
    const ranked = this.#ranked.get(
      key,
      basis(),
      () => this.#rankOwners(key, cells.dataCentreOf(partition)),
    );
    return this.#leftOut.deprioritize(ranked)[0];
  }

  #rankOwners(key: string, place: string | undefined): string[] {
    const { self, hosts, busyHosts: busyAt } = this.#options;
    const all = hosts();
    const near = all.filter(({ dataCentre }) => dataCentre === place);
    const names = (near.length > 0 ? near : all).map(({ host }) => host);
    const busy = new Set(busyAt(place));
    const ranked = rendezvous.rank(key, names);
    const owners = [
      ...ranked.filter((host) => !busy.has(host)),
      ...ranked.filter((host) => busy.has(host)),
    ];
    return owners.length > 0 ? owners : [self];
  }
}

/** What prompts of one partition have in common: the last part that requests
 * share, after which nothing is. */
function keyOf({ parts }: protocols.Prompt): string {
  return (parts.at(-2) ?? parts.at(-1))?.id ?? "";
}

function questionOf(
  partition: string,
  { service, prompt, planned, tried, isSent }: PlacementQuery,
): schema.PlaceQuestion {
  const { model, inputTokens, outputTokens, parts } = prompt;
  return {
    type: "place",
    service,
    partition,
    prompt: { model, inputTokens, outputTokens, parts: [...parts] },
    ...(planned && { planned: planned.identity.id }),
    tried: [...tried],
    sent: isSent,
  };
}
