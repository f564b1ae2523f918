/** A host that takes requests in a simulated fleet: the gateway and the
 * batchers as they are, on the fake clock.
 * @module */

import type * as undici from "undici";
import * as configurations from "../../src/configuration/mod.ts";
import * as concurrencyFixture from "../../src/concurrency/fixture.ts";
import * as originFixture from "../../src/origins/fixture.ts";
import * as gateway from "../../src/gateway/mod.ts";
import * as passages from "../../src/gateway/active_request.ts";
import * as requestBodies from "../../src/fleet/request_bodies.ts";
import * as pieces from "../../src/batching/mod.ts";
import type * as endpoints from "../../src/endpoints/mod.ts";
import * as quarantineFixture from "../../src/quarantine/fixture.ts";
import * as rateLimitFixture from "../../src/rate_limits/fixture.ts";
import type * as runtime from "../../src/runtime/mod.ts";
import type * as schema from "../../src/schema/fleet_types.ts";
import * as telemetry from "../../src/telemetry/mod.ts";
import * as wire from "./wire.ts";

/** What a host needs of its fleet. */
export interface HostOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly clock: runtime.Clock;
  readonly random: runtime.Random;
  readonly logger: telemetry.Logger;
  readonly catalogue: configurations.Catalogue;
  readonly dispatcher: undici.Dispatcher;
  roster(): readonly endpoints.RosterEntry[];
  /** Hosts that are up. */
  hosts(): readonly Host[];
}

/** Milliseconds from host to host, one way. */
const WAY = 1.4;

/** Memory has no bound in a simulation. */
const UNBOUNDED_BODIES = requestBodies.RequestBodies.create({
  metrics: telemetry.noMetrics,
  maxBytes: Infinity,
  otherBytes: () => 0,
  afterTurn: () => {},
});

/** One host. */
export class Host {
  readonly name: string;
  readonly dataCentre: string;
  readonly #options: HostOptions;
  readonly #pool = gateway.EndpointPool.create();
  readonly #batcher: pieces.Batcher;
  readonly #placement: gateway.Placement;
  readonly #context: gateway.Context;

  constructor(options: HostOptions) {
    const { name, dataCentre, clock, catalogue } = options;
    this.name = name;
    this.dataCentre = dataCentre;
    this.#options = options;
    const { protocol } = wire;
    const common = {
      ...options,
      protocol,
      metrics: telemetry.noMetrics,
      partialAnswers: { update() {}, remove() {}, sum: 0 },
    };
    this.#batcher = pieces.Batcher.create({
      ...common,
      quotas: rateLimitFixture.unlimitedQuotas(),
      slots: concurrencyFixture.unlimitedSlots(),
      service: (service) => catalogue.service(service),
      workers: ({ service, cell }) => this.#workers(service, cell),
      isClosed: () => false,
      resumesIn: () => 0,
      ...gateway.batchEndpointsOf(this.#pool, common),
    });
    const maker = pieces.BatcherClient.create({
      ...options,
      self: name,
      calls: this.#calls(),
      batcher: this.#batcher,
      entryHosts: () => this.#fleet(),
      dependencies: () => this.#basis,
      services: () => catalogue.batchServices,
      workers: (service) => this.#known(service),
      isAvailable: ({ id }) =>
        this.#pool.get(id)?.isHealthy(clock.now()) ?? false,
    });
    this.#placement = gateway.Placement.create({
      ...common,
      self: name,
      calls: this.#calls(),
      pool: this.#pool,
      dependencies: () => this.#basis,
      hosts: () => this.#fleet(),
      busyHosts: (place) => maker.partitionOwnersIn(place),
    });
    const bounds = { ratio: 0.2, burst: 50, window: 10_000 };
    const budget = gateway.RetryBudget.create(bounds);
    this.#context = {
      ...common,
      pool: this.#pool,
      paths: { relayOf: () => undefined, hasReceivedFromOthers: () => true },
      batcherClient: maker,
      placement: this.#placement,
      quotas: rateLimitFixture.unlimitedQuotas(),
      slots: concurrencyFixture.unlimitedSlots(),
      origins: originFixture.noOrigins(),
      guard: quarantineFixture.permissiveGuard(),
      startedAt: clock.now(),
      maxConfigurationAge: 1000,
      calibration: gateway.Calibration.create(),
      callDurations: gateway.CallDurations.create(),
      priorWait: gateway.PriorWait.create(),
      inputRetention: gateway.InputRetention.create(),
      loadUpdates: gateway.LoadUpdates.create({
        clock,
        send: (uses) => this.#placement.sendLoad(uses),
      }),
      fleetView: {
        catalogue: () => catalogue,
        configurationAge: () => 0,
        hostCount: () => options.hosts().length,
      },
      retryBudget: () => budget,
      isDraining: () => false,
      isStopping: () => false,
      stopsAt: () => Infinity,
    };
    this.follow();
  }

  /** Follows the endpoints. */
  follow(): void {
    const { catalogue } = this.#options;
    this.#pool.update(
      this.#options.roster(),
      (name) => catalogue.service(name),
    );
    this.#batcher.update();
  }

  /** Takes a request. */
  serve(ask: gateway.IncomingRequest, response: wire.Response): void {
    passages.ActiveRequest.start(this.#context, {
      request: wire.request(ask),
      response: response as unknown as passages.HttpExchange["response"],
      // Callers of this bench read at once.
      unreadReplies: { update() {}, remove() {} },
      requestBodies: UNBOUNDED_BODIES,
      connection: {
        announcesClose: (_, isWanted) => isWanted,
        isLast: () => true,
        linger() {},
        recordCloseDelimited() {},
      },
    });
  }

  get #basis(): readonly unknown[] {
    return [this.#options.hosts(), this.#pool.revision];
  }

  #fleet(): { host: string; dataCentre: string }[] {
    return this.#options.hosts().map(({ name: host, dataCentre }) => ({
      host,
      dataCentre,
    }));
  }

  #known(service: string): pieces.Worker[] {
    return this.#pool.endpointsOf(service).map(({ identity }) => identity);
  }

  #workers(service: string, cell: string): pieces.Worker[] {
    const now = this.#options.clock.now();
    const members = pieces.partitions.workersOf(cell, this.#known(service))
      .flatMap(({ id }) => this.#pool.get(id) ?? []);
    return gateway.usableOf(members, now).map(({ identity }) => identity);
  }

  #calls(): pieces.BatcherClientOptions["calls"] {
    const { clock, hosts } = this.#options;
    const self = this.name;
    const find = (name: string) => hosts().find((host) => host.name === name);
    const way = () =>
      new Promise<void>((resolve) => void clock.after(WAY, () => resolve()));
    return {
      async ask(name, question): Promise<schema.Reply> {
        await way();
        const host = find(name);
        if (host === undefined) throw new Error("lost");
        const reply = await host.#answer(question, self);
        await way();
        if (find(name) !== host) throw new Error("lost");
        return reply;
      },
      cast(name, notice) {
        void way().then(() => {
          const host = find(name);
          if (host !== undefined) host.#hear(notice, self);
        });
      },
    };
  }

  async #answer(
    question: schema.Question,
    from: string,
  ): Promise<schema.Reply> {
    if (question.type === "place") {
      return this.#placement.answerQuery(question, from);
    }
    if (question.type === "make") {
      return { type: "made", results: await this.#batcher.compute(question) };
    }
    if (question.type !== "book") return { type: "failed", reason: "unknown" };
    return { type: "booked", ...this.#batcher.reserve(question) };
  }

  #hear(notice: schema.Notice, from: string): void {
    if (notice.type === "release") {
      this.#batcher.release(notice, notice.handles);
    } else if (notice.type === "drop") {
      this.#batcher.cancel(notice, notice.request);
    } else if (notice.type === "use") {
      const now = this.#options.clock.now();
      this.#pool.recordRemoteLoad(from, notice.uses, now);
    }
  }
}
