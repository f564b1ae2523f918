/** Hosts and engines of drawn schedules of streams.
 * @module */

import type * as endpoints from "../../src/endpoints/mod.ts";
import * as gateway from "../../src/gateway/mod.ts";
import * as origins from "../../src/origins/mod.ts";
import type * as runtime from "../../src/runtime/mod.ts";
import * as storage from "../../src/storage/mod.ts";
import * as telemetry from "../../src/telemetry/mod.ts";
import type * as networks from "../fuzz_world/network.ts";

/** Service of all engines. */
export const SERVICE = "models";
/** Interval at which a host learns of changed engines. */
const SYNC_INTERVAL_MS = 600;
/** Time for which hosts know engines that have ended. */
const RETENTION_MS = 60_000;

/** One life of an engine. */
export interface Engine {
  readonly id: string;
  readonly address: string;
  readonly version: string;
  readonly startedAt: number;
  endedAt: number;
}

/** What hosts share. */
export interface HostOptions {
  readonly clock: runtime.Clock;
  readonly network: networks.Network;
  readonly controlHosts: readonly string[];
  /** All engines that ever were. */
  readonly engines: readonly Engine[];
}

/** A control host; its disk outlives it. */
export class ControlHost {
  readonly name: string;
  readonly #options: HostOptions;
  #disk = storage.MemoryStorage.create();

  constructor(name: string, options: HostOptions) {
    this.name = name;
    this.#options = options;
  }

  /** Starts it, for the first time or again. */
  start(): void {
    const { network, clock } = this.#options;
    const server = origins.OriginServer.create({
      clock,
      logger: telemetry.noLogger,
      metrics: telemetry.noMetrics,
      openStorage: () => Promise.resolve(this.#disk),
    });
    network.join(this.name, {
      answer(question) {
        if (question.type === "origin") return server.find(question);
        if (question.type === "origins") return server.store(question);
        return { type: "failed", reason: "not-served" };
      },
      hear() {},
    });
  }

  /** Ends it at once. */
  end(): void {
    this.#options.network.leave(this.name);
    this.#disk = this.#disk.crash();
  }

  wipe(): void {
    this.#disk = storage.MemoryStorage.create();
  }
}

/** One life of an entry host, with its own view of the engines. */
export class EntryHost {
  readonly name: string;
  readonly pool = gateway.EndpointPool.create();
  readonly client: origins.OriginClient;
  readonly #options: HostOptions;
  /** Milliseconds by which its view lags. */
  readonly #lag: number;
  isUp = true;
  #syncedAt = -Infinity;

  constructor(
    name: string,
    options: HostOptions,
    { lag, asks }: { lag: number; asks: boolean },
  ) {
    const { clock, network, controlHosts } = options;
    this.name = name;
    this.#options = options;
    this.#lag = lag;
    this.client = origins.OriginClient.create({
      self: name,
      clock,
      logger: telemetry.noLogger,
      metrics: telemetry.noMetrics,
      calls: network.callsOf(name),
      controlHosts: () => asks ? controlHosts : [],
      viewAge: () => clock.now() - this.#syncedAt,
    });
    network.join(name, {
      answer: () => ({ type: "failed", reason: "not-served" }),
      hear() {},
    });
    this.#sync();
  }

  end(): void {
    this.isUp = false;
    this.#options.network.leave(this.name);
  }

  #sync(): void {
    const { clock, network } = this.#options;
    if (!this.isUp) return;
    if (!network.isCut(this.name)) {
      this.#syncedAt = clock.now();
      const entries = this.#entries(clock.now() - this.#lag);
      this.client.observe(entries);
      this.pool.update(entries, () => undefined);
    }
    clock.after(SYNC_INTERVAL_MS, () => this.#sync());
  }

  #entries(at: number): endpoints.RosterEntry[] {
    return this.#options.engines
      .filter(({ startedAt, endedAt }) =>
        startedAt <= at && at < endedAt + RETENTION_MS
      )
      .map(({ id, address, version, startedAt, endedAt }) => ({
        id,
        service: SERVICE,
        address,
        dataCentre: "town",
        version,
        slots: 64,
        state: endedAt <= at ? "gone" : "ready",
        sequence: 1,
        heardAt: at,
        firstHeardAt: startedAt,
        coldUntil: 0,
        revision: 1,
        isSilent: false,
      }));
  }
}
