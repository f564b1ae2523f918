/** A host that takes requests: it has no disk, follows the hosts that have one
 * and passes requests on to services.
 * @module */

import * as orders from "../control/versions/evacuations.ts";
import * as configurations from "../configuration/mod.ts";
import * as connections from "../endpoint_calls/connections.ts";
import * as connector from "../endpoint_calls/connector.ts";
import * as gateway from "../gateway/mod.ts";
import * as pieces from "../batching/mod.ts";
import * as quarantine from "../quarantine/mod.ts";
import * as rateLimits from "../rate_limits/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as bases from "./host_context.ts";
import * as errors from "./errors.ts";
import * as followers from "./sync_client.ts";
import type * as settings from "./settings.ts";

/** Part of the time in which a key must stop to serve that a host may go
 * without hearing of changes: a poll, and a request's way to its endpoint, take
 * the rest; the users owe nothing above 0.6. */
const FRESH = 0.55;
/** Milliseconds of the stop's grace that are kept for the end itself. */
const END_RESERVE = 700;
/** Milliseconds for which a host that stops goes on taking requests: callers
 * are sent elsewhere after two looks at its readiness, a second apart. */
const TAKING = 2600;
/** Milliseconds in which a connection to an endpoint is made: a retry of the
 * opening packet takes a second, and another endpoint is better by then. */
const CONNECT_TIMEOUT = 700;
/** Milliseconds that an idle connection is kept when its endpoint names no
 * time, and the margin by which it is closed before a named time. */
const KEEP_ALIVE = 2000;
const KEEP_ALIVE_MARGIN = 400;

/** Milliseconds after the order that ends an evacuation in which endpoints there
 * may be cold: some times as long as they are, since clocks of hosts differ. */
const RETURNED = 15_000;

/** Decodes a configuration; throws `FleetError` when it cannot be read. */
export type DecodeConfiguration = (
  document: string,
) => configurations.Configuration;

/** What a host that takes requests is made from. */
export interface EntryHostOptions extends bases.HostContext {
  protocol: gateway.GatewayProtocol;
  decodeConfiguration: DecodeConfiguration;
}

/** A running host that takes requests. */
export class EntryHost {
  readonly #options: EntryHostOptions;
  readonly #network: bases.Network;
  readonly #follower: followers.SyncClient;
  readonly #pool = gateway.EndpointPool.create();
  readonly #batcher: pieces.Batcher;
  readonly #maker: pieces.BatcherClient;
  readonly #placement: gateway.Placement;
  readonly #guard: quarantine.Guard;
  readonly #quotas: rateLimits.QuotaClient;
  readonly #connections: connections.Connections;
  readonly #budgets = new Map<string, gateway.RetryBudget>();
  #catalogue?: configurations.Catalogue;
  /** Those that the pool follows. */
  #evacuations = orders.Evacuations.NONE;
  /** Those of the follower's hosts that are ready; the same list while that is
   * the same. */
  #ready: { of?: readonly schema.EntryHost[]; hosts: schema.EntryHost[] } = {
    hosts: [],
  };
  #server!: gateway.Server;
  #isDraining = false;
  #isEnding = false;

  private constructor(options: EntryHostOptions) {
    const { settings, clock, logger } = options;
    const { host: self, dataCentre, seeds } = settings;
    this.#options = options;
    this.#connections = connections.Connections.create({
      pipelining: 1,
      connect: connector.create({ timeout: CONNECT_TIMEOUT }),
      keepAliveTimeout: KEEP_ALIVE,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN,
    });
    this.#network = bases.createNetwork(options, {
      handlers: {
        make: (question) => this.#make(question),
        book: (question) => this.#book(question),
        place: (question, from) =>
          Promise.resolve(this.#placement.answer(question, from)),
      },
      onNotice: (notice, from) => this.#hear(notice, from),
    });
    this.#follower = followers.SyncClient.create({
      ...options,
      self,
      dataCentre,
      seeds,
      calls: this.#network.calls,
      isReady: () => this.#isReady,
      onVersion: (_, document) => this.#takeVersion(document),
      onChange: () => this.#follow(),
      onNewSource: (core) => void this.#guard.sendAll(core),
      onSuspects: (suspects) => this.#guard.merge(suspects),
      onLimits: (limits) => this.#quotas.mergeLimits(limits),
    });
    this.#guard = quarantine.Guard.create({
      ...options,
      calls: this.#network.calls,
      cores: () => this.#follower.controlHosts,
    });
    this.#quotas = rateLimits.QuotaClient.create({
      ...options,
      calls: this.#network.calls,
      cores: () => this.#follower.controlHosts,
      entryHostCount: () => this.#follower.hosts.length,
      coldRate: (id) => this.#pool.get(id)?.coldRate(clock.now()),
    });
    this.#batcher = pieces.Batcher.create({
      ...options,
      quotas: this.#quotas,
      dispatcher: this.#connections,
      service: (name) => this.#catalogue?.service(name),
      workers: (cell) => this.#workers(cell),
      isEvacuated: (cell) => this.#isClosed(cell),
      acceptsCalls: (id) => this.#pool.get(id)?.isAccepting ?? false,
      recordResponse: (id) =>
        this.#pool.get(id)?.recordHealth("good", clock.now()),
    });
    this.#maker = pieces.BatcherClient.create({
      self,
      clock,
      logger,
      calls: this.#network.calls,
      batcher: this.#batcher,
      dependencies: () => this.#basis,
      entryHosts: () => this.#readyHosts,
      services: () => this.#catalogue?.batchServices ?? [],
      workers: (service) => this.#known(service),
      isAvailable: ({ id }) =>
        this.#pool.get(id)?.isHealthy(clock.now()) ?? false,
    });
    this.#placement = gateway.Placement.create({
      ...options,
      self,
      dataCentre,
      calls: this.#network.calls,
      pool: this.#pool,
      dependencies: () => this.#basis,
      hosts: () => this.#readyHosts,
      busyHosts: (place) => this.#maker.partitionOwnersIn(place),
    });
  }

  /** Listens and begins to follow; it is ready once it knows what is in
   * force. */
  static async start(options: EntryHostOptions): Promise<EntryHost> {
    const host = new EntryHost(options);
    await host.#start();
    return host;
  }

  /** Follows settings that have changed. */
  reload({ seeds }: settings.HostSettings): void {
    this.#follower.setSeeds(seeds);
    this.#options.logger.info({ seeds }, "Settings read again");
  }

  /** Takes no new callers, finishes what is under way, and ends. */
  async stop(): Promise<void> {
    const { clock, logger, settings: { bounds } } = this.#options;
    const started = clock.now();
    this.#isDraining = true;
    this.#server.drain();
    logger.info({ inFlight: this.#server.inFlight }, "Host drains");
    await new Promise<void>((resolve) =>
      void clock.after(TAKING, () => resolve())
    );
    this.#isEnding = true;
    const left = bounds.shutdownGrace - END_RESERVE - (clock.now() - started);
    await this.#server.finish(left);
    await this.#server.stop();
    this.#follower.stop();
    this.#network.calls.stop();
    await this.#network.transport.stop();
    await this.#connections.destroy();
    logger.info({ tookMs: Math.round(clock.now() - started) }, "Host stopped");
  }

  /** State for people. */
  dump(): unknown {
    const now = this.#options.clock.now();
    return {
      ready: this.#isReady,
      inFlight: this.#server.inFlight,
      follower: this.#follower.dump(),
      pool: this.#pool.dump(now),
      suspects: this.#guard.dump(),
      limits: this.#quotas.dump(),
      batcher: this.#batcher.dump(),
      peers: this.#network.transport.dump(),
    };
  }

  async #start(): Promise<void> {
    const { settings, logger } = this.#options;
    const { callerAddress: callers, readinessAddress: readiness } = settings;
    if (callers === undefined) {
      throw new errors.FleetError("The settings name no address for callers");
    }
    await this.#network.transport.start();
    this.#server = await gateway.Server.start({
      context: this.#context(),
      callers,
      readiness,
      isReady: () => this.#isReady,
    });
    this.#follower.start();
    logger.info({ seeds: settings.seeds }, "Host started");
  }

  get #greatestAge(): number {
    return FRESH * this.#options.settings.bounds.keyRevocation;
  }

  get #isReady(): boolean {
    return !this.#isDraining && this.#catalogue !== undefined &&
      this.#follower.proofAge <= this.#greatestAge;
  }

  #context(): gateway.Context {
    return {
      ...this.#options,
      dispatcher: this.#connections,
      dataCentre: this.#options.settings.dataCentre,
      pool: this.#pool,
      maker: this.#maker,
      placement: this.#placement,
      guard: this.#guard,
      quotas: this.#quotas,
      startedAt: this.#options.clock.now(),
      maxConfigurationAge: this.#greatestAge,
      calibration: gateway.Calibration.create(),
      priorWait: gateway.PriorWait.create(),
      inputRetention: gateway.InputRetention.create(),
      loadUpdates: gateway.LoadUpdates.create({
        clock: this.#options.clock,
        send: (uses) => this.#placement.sendLoad(uses),
      }),
      fleetView: {
        catalogue: () => this.#catalogue,
        configurationAge: () => this.#follower.proofAge,
        hostCount: () => Math.max(1, this.#follower.hosts.length),
      },
      retryBudget: (service) => this.#budget(service),
      isDraining: () => this.#isDraining,
      isStopping: () => this.#isEnding,
    };
  }

  #budget(service: string): gateway.RetryBudget {
    const known = this.#budgets.get(service);
    if (known !== undefined) return known;
    const { bounds } = this.#options.settings;
    const made = gateway.RetryBudget.create({
      ratio: bounds.retryRatio,
      burst: bounds.retryBurst,
      window: bounds.retryWindow,
    });
    this.#budgets.set(service, made);
    return made;
  }

  #takeVersion(document: string): void {
    const text = configurations.decompress(document);
    const configuration = this.#options.decodeConfiguration(text);
    this.#catalogue = configurations.Catalogue.create(configuration);
    this.#server.setTimeouts(configuration.limits);
    this.#options.metrics.gauge("config.version", configuration.version);
  }

  #follow(): void {
    const ended = this.#pool.update(
      this.#follower.roster.entries,
      (name) => this.#catalogue?.service(name),
    );
    this.#followEvacuations();
    ended.forEach((one) => void this.#end(one));
    this.#batcher.update();
    this.#options.metrics.gauge("config.proof_age", this.#follower.proofAge);
  }

  #followEvacuations(): void {
    const { clock } = this.#options;
    const { evacuations } = this.#follower;
    const returned = evacuations.newerThan(this.#evacuations)
      .filter(({ active, orderedAt }) =>
        !active && clock.wall() - orderedAt < RETURNED
      );
    this.#evacuations = evacuations;
    this.#options.metrics.gauge(
      "evacuation.active",
      evacuations.active.length,
    );
    this.#pool.setEvacuated(
      evacuations.active.map(({ dataCentre }) => dataCentre),
      {
        returned: returned.map(({ dataCentre }) => dataCentre),
        now: clock.now(),
      },
    );
  }

  /** Leaves the connections to an endpoint that has ended. */
  async #end(
    { identity, isRestarted: isReborn }: gateway.EndedEndpoint,
  ): Promise<void> {
    const { id, service, address } = identity;
    const { logger } = this.#options;
    logger.info({ endpoint: id, service, address, isReborn }, "Endpoint ended");
    try {
      if (isReborn) await this.#connections.abort(address);
      else await this.#connections.retire(address);
    } catch (error) {
      logger.warn({ err: error, endpoint: id }, "Connections were not closed");
    }
  }

  /** What follows from hosts, endpoints and configuration is the same while
   * these are. */
  get #basis(): readonly unknown[] {
    return [this.#follower.hosts, this.#pool.revision, this.#catalogue];
  }

  get #readyHosts(): readonly schema.EntryHost[] {
    const { hosts } = this.#follower;
    if (this.#ready.of !== hosts) {
      this.#ready = { of: hosts, hosts: hosts.filter(({ ready }) => ready) };
    }
    return this.#ready.hosts;
  }

  #known(service: string): pieces.Worker[] {
    return this.#pool.endpointsOf(service).map(({ identity }) => identity);
  }

  /** Endpoints of a cell that take calls. */
  #workers(cell: pieces.partitions.PartitionName): pieces.Worker[] {
    const now = this.#options.clock.now();
    return gateway.usableOf(this.#members(cell), now)
      .map(({ identity }) => identity);
  }

  #isClosed(cell: pieces.partitions.PartitionName): boolean {
    const members = this.#members(cell);
    return members.length > 0 &&
      members.every(({ isEvacuated }) => isEvacuated);
  }

  #members({ service, cell }: pieces.partitions.PartitionName) {
    return pieces.partitions.workersOf(cell, this.#known(service))
      .flatMap(({ id }) => this.#pool.get(id) ?? []);
  }

  async #make(question: schema.MakeQuestion): Promise<schema.Reply> {
    if (this.#isDraining) return { type: "failed", reason: "stopped" };
    return { type: "made", results: await this.#batcher.compute(question) };
  }

  #book(question: schema.BookQuestion): Promise<schema.Reply> {
    return Promise.resolve({
      type: "booked",
      ...this.#batcher.reserve(question),
    });
  }

  #hear(notice: schema.Notice, from: string): void {
    const { type } = notice;
    if (type === "release") {
      this.#batcher.release(notice, notice.handles);
    } else if (type === "drop") {
      this.#batcher.cancel(notice, notice.request);
    } else if (type === "use") {
      this.#pool.recordRemoteLoad(from, notice.uses, this.#options.clock.now());
    } else if (type === "limits") {
      this.#quotas.mergeLimits(notice.limits);
    } else if (type === "suspects") {
      this.#guard.merge(notice.suspects);
    }
  }
}
