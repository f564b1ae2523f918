/** Hosts and engines of drawn schedules of streams.
 * @module */

import * as endpoints from "../../src/endpoints/mod.ts";
import * as endpointReplicator from "../../src/fleet/endpoint_replicator.ts";
import * as rosterCodec from "../../src/fleet/roster_codec.ts";
import * as syncClient from "../../src/fleet/sync_client.ts";
import * as gateway from "../../src/gateway/mod.ts";
import * as origins from "../../src/origins/mod.ts";
import type * as peers from "../../src/peers/mod.ts";
import type * as runtime from "../../src/runtime/mod.ts";
import type * as schema from "../../src/schema/fleet_types.ts";
import * as storage from "../../src/storage/mod.ts";
import * as telemetry from "../../src/telemetry/mod.ts";
import type * as networks from "../fuzz_world/network.ts";
import * as hostClocks from "./host_clock.ts";

/** Service of all engines. */
export const SERVICE = "models";
/** Interval between heartbeats of an engine. */
export const HEARTBEAT_MS = 500;
/** Interval of a control host's periodic work. */
const TICK_MS = 400;
/** Time without a heartbeat after which an engine is silent. */
const SILENCE_MS = 3.5 * HEARTBEAT_MS;
/** Time for which hosts know engines that have ended. */
const RETENTION_MS = 60_000;
/** Age of its proof up to which an entry host serves. */
const MAX_PROOF_AGE_MS = 2750;
/** Version of the configuration that is in force all the time. */
const CONFIGURATION_VERSION = 1;

/** One life of an engine. */
export interface Engine {
  readonly id: string;
  readonly address: string;
  readonly version: string;
  readonly startedAt: number;
  endedAt: number;
  /** Heartbeats that it has sent. */
  sequence: number;
}

/** What hosts share. */
export interface HostOptions {
  readonly clock: runtime.Clock;
  readonly random: runtime.Random;
  readonly network: networks.Network;
  readonly controlHosts: readonly string[];
}

function createRoster(): endpoints.Roster {
  return endpoints.Roster.create({
    silenceTimeoutMs: SILENCE_MS,
    retentionMs: RETENTION_MS,
  });
}

/** Calls of a host; replies reach it once it runs. */
function callsOf(
  name: string,
  { network }: HostOptions,
  clock: hostClocks.HostClock,
): Pick<peers.Rpc, "ask"> {
  const calls = network.callsOf(name);
  return {
    async ask(...question) {
      try {
        return await calls.ask(...question);
      } finally {
        await clock.running();
      }
    },
  };
}

/** A control host; its disk outlives it. */
export class ControlHost {
  readonly name: string;
  readonly #options: HostOptions;
  readonly #clock: hostClocks.HostClock;
  #disk = storage.MemoryStorage.create();
  #roster = createRoster();
  #replicator?: endpointReplicator.EndpointReplicator;
  #life = 0;
  #isUp = false;
  /** Whether updates of other control hosts are lost. */
  losesUpdates = false;

  constructor(name: string, options: HostOptions) {
    this.name = name;
    this.#options = options;
    this.#clock = new hostClocks.HostClock(options.clock);
  }

  /** Whether it takes heartbeats. */
  get isReachable(): boolean {
    return this.#isUp && !this.#options.network.isCut(this.name);
  }

  /** Starts it, for the first time or again. */
  start(): void {
    const { network, controlHosts } = this.#options;
    const clock = this.#clock;
    const life = ++this.#life;
    this.#isUp = true;
    this.#roster = createRoster();
    this.#replicator = endpointReplicator.EndpointReplicator.create({
      clock,
      roster: this.#roster,
      departures: { store: () => Promise.resolve(true) },
      heartbeatInterval: HEARTBEAT_MS,
      calls: callsOf(this.name, this.#options, clock),
      logger: telemetry.noLogger,
      peers: () => controlHosts.filter((host) => host !== this.name),
    });
    const server = origins.OriginServer.create({
      clock,
      logger: telemetry.noLogger,
      metrics: telemetry.noMetrics,
      openStorage: () => Promise.resolve(this.#disk),
      endpoints: () => this.#roster.entries,
    });
    network.join(this.name, {
      answer: async (question) => {
        await clock.running();
        return await this.#answer(question, server);
      },
      hear() {},
    });
    const tick = () => {
      if (life !== this.#life) return;
      this.#roster.expire(clock.now());
      this.#replicator?.tick();
      server.tick();
      clock.after(TICK_MS, tick);
    };
    tick();
  }

  /** Ends it at once. */
  end(): void {
    this.#life++;
    this.#isUp = false;
    this.#options.network.leave(this.name);
    this.#disk = this.#disk.crash();
  }

  wipe(): void {
    this.#disk = storage.MemoryStorage.create();
  }

  freeze(): void {
    this.#clock.freeze();
  }

  thaw(): void {
    this.#clock.thaw();
  }

  /** Takes a heartbeat, or the departure, of an engine. */
  async report(engine: Engine, state: "ready" | "gone"): Promise<void> {
    const { version, id, address, sequence } = engine;
    await this.#clock.running();
    const now = this.#clock.now();
    const status = {
      id,
      service: SERVICE,
      address,
      dataCentre: "town",
      version,
      slots: 64,
      state,
      sequence,
    };
    const isNew = this.#roster.merge({ status, heardAt: now });
    if (isNew) await this.#replicator?.broadcast(id);
    else this.#replicator?.recordHeartbeat(id);
  }

  async #answer(
    question: schema.Question,
    server: origins.OriginServer,
  ): Promise<schema.Reply> {
    if (question.type === "origin") return await server.find(question);
    if (question.type === "origins") return server.store(question);
    if (question.type === "versions") return server.versions(question);
    if (question.type === "note" && !this.losesUpdates) {
      return await this.#replicator!.receive(question);
    }
    if (question.type === "sync") return this.#sync(question, server);
    return { type: "failed", reason: "not-served" };
  }

  #sync(
    question: schema.SyncQuestion,
    server: origins.OriginServer,
  ): schema.SyncedReply {
    const { network, controlHosts } = this.#options;
    const epoch = `${this.name}/${this.#life}`;
    const since = epoch === question.epoch ? question.revision : 0;
    const changed = this.#roster.changedSince(since);
    server.recordReport(changed);
    const now = this.#clock.now();
    const present = controlHosts.filter((host) => !network.isCut(host));
    return {
      type: "synced",
      confirmed: 2 * present.length > controlHosts.length,
      version: CONFIGURATION_VERSION,
      document: "configuration",
      epoch,
      revision: this.#roster.revision,
      sightings: changed.map((entry) => rosterCodec.encode(entry, now)),
      mark: "",
      cores: [...controlHosts],
    };
  }
}

/** How an entry host differs from others. */
export interface EntryOptions {
  /** Whether it asks control hosts for origins. */
  readonly asks: boolean;
  /** Whether it takes the engines that it knows for all that there are. */
  readonly trustsOwnView: boolean;
}

/** One life of an entry host, with its own view of the engines. */
export class EntryHost {
  readonly name: string;
  readonly pool = gateway.EndpointPool.create();
  readonly client: origins.OriginClient;
  readonly clock: hostClocks.HostClock;
  readonly #network: networks.Network;
  readonly #syncClient: syncClient.SyncClient;
  isUp = true;

  constructor(
    name: string,
    options: HostOptions,
    { asks, trustsOwnView }: EntryOptions,
  ) {
    const { network, controlHosts, random } = options;
    this.name = name;
    this.#network = network;
    this.clock = new hostClocks.HostClock(options.clock);
    const calls = callsOf(name, options, this.clock);
    this.client = origins.OriginClient.create({
      self: name,
      clock: this.clock,
      logger: telemetry.noLogger,
      metrics: telemetry.noMetrics,
      calls: trustsOwnView ? this.#withOwnView(calls) : calls,
      controlHosts: () => asks ? this.#syncClient.controlHosts : [],
      reportingHosts: () => asks ? this.#syncClient.reportingHosts : [],
    });
    this.#syncClient = syncClient.SyncClient.create({
      self: name,
      dataCentre: "town",
      seeds: controlHosts,
      clock: this.clock,
      random,
      calls,
      logger: telemetry.noLogger,
      isReady: () => true,
      isKnownService: () => true,
      onVersion() {},
      onNewSource() {},
      onSuspects() {},
      onLimits() {},
      takeSlowness: () => [],
      onSlowness() {},
      onContended() {},
      onChange: () =>
        void this.pool.update(this.#syncClient.roster.entries, () => undefined),
    });
    network.join(name, {
      answer: () => ({ type: "failed", reason: "not-served" }),
      hear() {},
    });
    this.#syncClient.start();
  }

  /** Whether its configuration is recent enough to serve by. */
  get isServing(): boolean {
    return this.isUp && this.#syncClient.proofAge <= MAX_PROOF_AGE_MS;
  }

  end(): void {
    this.isUp = false;
    this.#syncClient.stop();
    this.#network.leave(this.name);
  }

  #withOwnView(calls: Pick<peers.Rpc, "ask">): Pick<peers.Rpc, "ask"> {
    return {
      ask: (host, question, options) => {
        if (question.type !== "versions") {
          return calls.ask(host, question, options);
        }
        const known = [...this.#syncClient.roster.entries];
        const versions = known.map(({ version }) => version);
        return Promise.resolve({ type: "versions", versions, complete: true });
      },
    };
  }
}
