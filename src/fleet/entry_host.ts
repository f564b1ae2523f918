/** An entry host: it keeps nothing on disk, syncs configuration and endpoints
 * from control hosts, and proxies client requests to endpoints.
 * @module */

import * as evacuations from "../control/versions/evacuations.ts";
import * as configurations from "../configuration/mod.ts";
import * as connections from "../endpoint_calls/connections.ts";
import * as partialAnswers from "../endpoint_calls/partial_answers.ts";
import * as gateway from "../gateway/mod.ts";
import * as batching from "../batching/mod.ts";
import * as accountShares from "../account_shares/mod.ts";
import * as concurrency from "../concurrency/mod.ts";
import * as origins from "../origins/mod.ts";
import * as performances from "../performance/mod.ts";
import * as quarantine from "../quarantine/mod.ts";
import * as rateLimits from "../rate_limits/mod.ts";
import * as relay from "../relay/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as hostContext from "./host_context.ts";
import * as errors from "./errors.ts";
import * as syncClient from "./sync_client.ts";
import * as connectionLimits from "./connection_limit.ts";
import * as hostLimits from "./host_limits.ts";
import * as settings from "./settings.ts";
import * as delays from "../runtime/delay.ts";

/** Age up to which a host serves by its configuration, as a fraction of the
 * time within which a revoked API key must be rejected. The rest is left for
 * the sync interval and the transfer of a request to its endpoint. Above 0.6
 * the platform does not require a host to serve. */
const MAX_PROOF_AGE_RATIO = 0.55;
/** Part of the shutdown grace period that is reserved for closing
 * everything. */
const CLOSE_RESERVE_MS = 700;
/** How long a stopping host accepts new requests: the load balancer stops
 * sending clients after two failed readiness checks, which are one second
 * apart. */
const DRAIN_DELAY_MS = 2600;
/** How long an idle connection is kept when its endpoint announces no
 * keep-alive timeout, and how long before an announced timeout it is closed. */
const KEEP_ALIVE_MS = 2000;
const KEEP_ALIVE_MARGIN_MS = 400;

/** Time after the end of an evacuation in which the endpoints of the data
 * centre may be cold: several times a cold start, since the clocks of hosts
 * differ. */
const RETURN_WINDOW_MS = 15_000;

/** Accounts from which on they can compete for a service. */
const MIN_SHARING_ACCOUNTS = 2;

/** Dependencies of an entry host. */
export interface EntryHostOptions extends hostContext.HostContext {
  protocol: gateway.GatewayProtocol;
  decodeConfiguration: hostContext.DecodeConfiguration;
}

/** A running entry host. */
export class EntryHost {
  readonly #options: EntryHostOptions;
  readonly #network: hostContext.Network;
  readonly #syncClient: syncClient.SyncClient;
  readonly #pool: gateway.EndpointPool;
  readonly #slowness: performances.SlownessExchange;
  readonly #batcher: batching.Batcher;
  readonly #batcherClient: batching.BatcherClient;
  readonly #placement: gateway.Placement;
  readonly #guard: quarantine.Guard;
  readonly #quotaClient: rateLimits.QuotaClient;
  readonly #slotClient: concurrency.SlotClient;
  readonly #originClient: origins.OriginClient;
  readonly #paths: relay.EndpointPaths;
  readonly #tunnelServer: relay.TunnelServer;
  readonly #connections: connections.Connections;
  readonly #partialAnswers: partialAnswers.PartialAnswers;
  /** Entry hosts that may have used retries within the budget's window. */
  readonly #hostCount: gateway.PeakCount;
  /** Time at which the process started. */
  readonly #startedAt: number;
  readonly #retryBudgets = new Map<string, gateway.RetryBudget>();
  #catalogue?: configurations.Catalogue;
  /** Undefined where accounts have no shares. */
  #accountShares?: accountShares.AccountShares;
  /** Evacuations that have been applied to the pool. */
  #evacuations = evacuations.Evacuations.NONE;
  /** Cached list of ready hosts; its identity changes only with the list of
   * hosts that it is derived from. */
  #readyCache: {
    source?: readonly schema.EntryHost[];
    hosts: schema.EntryHost[];
  } = {
    hosts: [],
  };
  #server!: gateway.Server;
  #isDraining = false;
  #isStopping = false;
  /** Time at which requests in flight are ended; infinite before a stop. */
  #stopsAt = Infinity;

  private constructor(options: EntryHostOptions) {
    const { settings, clock, logger } = options;
    const { host: self, dataCentre, seeds } = settings;
    this.#options = options;
    this.#startedAt = options.clock.now();
    this.#hostCount = gateway.PeakCount.create(settings.bounds.retryWindow);
    this.#pool = gateway.EndpointPool.create({
      isPerformanceEnabled: !settings.disabledParts.has("performance"),
    });
    this.#paths = relay.EndpointPaths.create({
      ...options,
      dataCentre,
      hosts: () => this.#readyHosts.filter(({ host }) => host !== self),
      dialer: relay.dialers.create((host) =>
        this.#network.transport.dialAddress(host)
      ),
    });
    this.#tunnelServer = relay.TunnelServer.create({
      ...options,
      pathTo: (endpoint) =>
        this.#pool.at(endpoint) && this.#paths.pathTo(endpoint),
      onFailure: (endpoint) => this.#paths.check(endpoint),
    });
    this.#connections = connections.Connections.create({
      pool: {
        pipelining: 1,
        connect: this.#paths.connect,
        keepAliveTimeout: KEEP_ALIVE_MS,
        keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      },
      clock,
      reuse: this.#paths,
      onExtraAnswer: (address) => this.#recordExtraAnswer(address),
    });
    this.#partialAnswers = partialAnswers.PartialAnswers.create({
      ...options,
      memory: this.#memory,
      afterTurn: setImmediate,
    });
    this.#network = hostContext.createNetwork(options, {
      handlers: {
        make: (question) => this.#handleMake(question),
        book: (question) => this.#handleBook(question),
        place: (question, from) =>
          Promise.resolve(this.#placement.answerQuery(question, from)),
      },
      onNotice: (notice, { from }) => this.#handleNotice(notice, from),
      tunnels: this.#tunnelServer,
    });
    this.#syncClient = syncClient.SyncClient.create({
      ...options,
      self,
      dataCentre,
      seeds,
      calls: this.#network.calls,
      isReady: () => this.#isReady,
      capacity: this.#announcedCapacity,
      isKnownService: (name) => this.#catalogue?.service(name) !== undefined,
      onVersion: (_, document) => this.#applyConfiguration(document),
      onChange: () => this.#applyChanges(),
      onNewSource: (controlHost) => void this.#guard.sendAll(controlHost),
      onSuspects: (suspects) => this.#guard.merge(suspects),
      onLimits: (limits) => this.#quotaClient.mergeLimits(limits),
      takeSlowness: () => this.#slowness.takeReports(),
      onSlowness: (estimates) => this.#slowness.adopt(estimates),
      onContended: (services) => this.#accountShares?.setContended(services),
    });
    this.#slowness = performances.SlownessExchange.create({
      ...options,
      performances: () => this.#pool.performances,
      identityOf: (endpoint) => this.#pool.get(endpoint)?.identity,
      isShared: (name) => {
        const service = this.#catalogue?.service(name);
        return service !== undefined && service.engine === undefined &&
          service.batching === undefined;
      },
    });
    this.#guard = quarantine.Guard.create({
      ...options,
      calls: this.#network.calls,
      controlHosts: () => this.#syncClient.controlHosts,
    });
    this.#quotaClient = rateLimits.QuotaClient.create({
      ...options,
      calls: this.#network.calls,
      controlHosts: () => this.#syncClient.controlHosts,
      entryHostCount: () => this.#syncClient.hosts.length,
      coldRate: (id) => this.#pool.get(id)?.coldRate(clock.now()),
    });
    this.#slotClient = concurrency.SlotClient.create({
      ...options,
      self,
      calls: this.#network.calls,
      controlHosts: () => this.#syncClient.controlHosts,
      entryHosts: () => this.#readyHosts.map(({ host }) => host),
      slots: (id) => this.#pool.get(id)?.concurrencyLimit(clock.now()),
    });
    this.#originClient = origins.OriginClient.create({
      ...options,
      self,
      calls: this.#network.calls,
      controlHosts: () => this.#syncClient.controlHosts,
      reportingHosts: () => this.#syncClient.reportingHosts,
    });
    this.#batcher = batching.Batcher.create({
      ...options,
      quotas: this.#quotaClient,
      slots: this.#slotClient,
      dispatcher: this.#connections,
      partialAnswers: this.#partialAnswers,
      service: (name) => this.#catalogue?.service(name),
      workers: (partition) => this.#usableWorkers(partition),
      isClosed: (partition) => this.#isClosed(partition),
      resumesIn: (partition) =>
        gateway.announcedReturn(this.#endpointsOf(partition), clock.now()),
      ...gateway.batchEndpointsOf(this.#pool, options),
    });
    this.#batcherClient = batching.BatcherClient.create({
      self,
      clock,
      logger,
      calls: this.#network.calls,
      batcher: this.#batcher,
      dependencies: () => this.#dependencies,
      entryHosts: () => this.#readyHosts,
      services: () => this.#catalogue?.batchServices ?? [],
      workers: (service) => this.#workersOf(service),
      isAvailable: ({ id }) =>
        this.#pool.get(id)?.isHealthy(clock.now()) ?? false,
    });
    this.#placement = gateway.Placement.create({
      ...options,
      self,
      dataCentre,
      calls: this.#network.calls,
      pool: this.#pool,
      dependencies: () => this.#dependencies,
      hosts: () => this.#readyHosts,
      busyHosts: (dataCentre) =>
        this.#batcherClient.partitionOwnersIn(dataCentre),
    });
  }

  /** Starts to listen and to sync. The host is ready once it has a confirmed
   * configuration. */
  static async start(options: EntryHostOptions): Promise<EntryHost> {
    const host = new EntryHost(options);
    await host.#start();
    return host;
  }

  /** Applies changed settings; only the seeds are reloaded. */
  reload({ seeds }: settings.HostSettings): void {
    this.#syncClient.setSeeds(seeds);
    this.#options.logger.info({ seeds }, "Settings reloaded");
  }

  /** Drains: fails readiness checks, finishes the requests in flight and the items
   * that other hosts wait for, waits until callers have read the replies and
   * stops. */
  async stop(): Promise<void> {
    const { clock, logger, settings: { bounds } } = this.#options;
    const started = clock.now();
    this.#isDraining = true;
    this.#stopsAt = started + bounds.shutdownGrace - CLOSE_RESERVE_MS;
    this.#server.drain();
    this.#tunnelServer.drain();
    logger.info({ inFlight: this.#server.inFlight }, "Host draining");
    await delays.sleep(clock, DRAIN_DELAY_MS);
    this.#isStopping = true;
    const remaining = () => this.#stopsAt - clock.now();
    await Promise.all([
      this.#server.finish(remaining()),
      // Requests of other hosts wait for these items.
      delays.until(clock, () => this.#batcher.isIdle, { timeout: remaining() }),
    ]);
    await this.#server.stop();
    await this.#tunnelServer.finish(remaining());
    this.#syncClient.stop();
    this.#accountShares?.stop();
    this.#network.calls.stop();
    await this.#network.transport.stop();
    this.#paths.close();
    await this.#connections.destroy();
    logger.info({ tookMs: Math.round(clock.now() - started) }, "Host stopped");
  }

  /** Closes the connections of callers whose replies are not sent whole. */
  closeUnfinishedReplies(): void {
    this.#server.closeUnfinishedReplies();
  }

  /** Diagnostic state, for operators. */
  dump(): unknown {
    const now = this.#options.clock.now();
    return {
      ready: this.#isReady,
      inFlight: this.#server.inFlight,
      ...this.#server.dump(),
      partialAnswers: this.#partialAnswers.dump(),
      follower: this.#syncClient.dump(),
      pool: this.#pool.dump(now),
      performance: this.#pool.dumpPerformance(now),
      paths: this.#paths.dump(),
      suspects: this.#guard.dump(),
      limits: this.#quotaClient.dump(),
      slots: this.#slotClient.dump(),
      origins: this.#originClient.dump(),
      accountShares: this.#accountShares?.dump(),
      batcher: this.#batcher.dump(),
      peers: this.#network.transport.dump(),
    };
  }

  async #start(): Promise<void> {
    const { settings, logger } = this.#options;
    const { callerAddress, readinessAddress } = settings;
    if (callerAddress === undefined) {
      throw new errors.FleetError(
        "settings of an entry host lack the listen address for callers",
      );
    }
    await this.#network.transport.start();
    this.#server = await gateway.Server.start({
      context: this.#createContext(),
      callers: callerAddress,
      readiness: readinessAddress,
      memory: this.#memory,
      connectionLimit: connectionLimits.ConnectionLimit.create({
        ...this.#options,
        ...hostLimits.connectionBounds(settings),
        server: "callers",
      }),
      readinessLimit: connectionLimits.ConnectionLimit.create({
        ...this.#options,
        ...hostLimits.PROBE_BOUNDS,
        server: "readiness",
      }),
      maxRequestBytes: hostLimits.requestBytes(this.#options.settings),
      isReady: () => this.#isReady,
    });
    this.#syncClient.start();
    logger.info({ seeds: settings.seeds }, "Host started");
  }

  get #memory(): number {
    return settings.memoryOf(this.#options.settings);
  }

  get #announcedCapacity(): number | undefined {
    return settings.announcedCapacity(this.#options.settings);
  }

  get #maxProofAge(): number {
    return MAX_PROOF_AGE_RATIO * this.#options.settings.bounds.keyRevocation;
  }

  get #isReady(): boolean {
    return !this.#isDraining && this.#catalogue !== undefined &&
      this.#syncClient.proofAge <= this.#maxProofAge;
  }

  #createContext(): gateway.Context {
    const currentShares = () => this.#accountShares;
    return {
      // Depends on the configuration in force.
      get accountShares() {
        return currentShares();
      },
      ...this.#options,
      dispatcher: this.#connections,
      partialAnswers: this.#partialAnswers,
      dataCentre: this.#options.settings.dataCentre,
      pool: this.#pool,
      paths: this.#paths,
      batcherClient: this.#batcherClient,
      placement: this.#placement,
      guard: this.#guard,
      quotas: this.#quotaClient,
      slots: this.#slotClient,
      origins: this.#originClient,
      startedAt: this.#startedAt,
      maxConfigurationAge: this.#maxProofAge,
      calibration: gateway.Calibration.create(),
      callDurations: gateway.CallDurations.create(),
      priorWait: gateway.PriorWait.create(),
      inputRetention: gateway.InputRetention.create(),
      loadUpdates: gateway.LoadUpdates.create({
        clock: this.#options.clock,
        send: (loads) => this.#placement.sendLoad(loads),
      }),
      fleetView: {
        catalogue: () => this.#catalogue,
        configurationAge: () => this.#syncClient.proofAge,
        hostCount: () =>
          Math.max(1, this.#hostCount.peak(this.#options.clock.now())),
      },
      retryBudget: (service) => this.#retryBudget(service),
      isDraining: () => this.#isDraining,
      isStopping: () => this.#isStopping,
      stopsAt: () => this.#stopsAt,
    };
  }

  #retryBudget(service: string): gateway.RetryBudget {
    const existing = this.#retryBudgets.get(service);
    if (existing !== undefined) return existing;
    const { bounds } = this.#options.settings;
    const budget = gateway.RetryBudget.create({
      ratio: bounds.retryRatio,
      burst: bounds.retryBurst,
      window: bounds.retryWindow,
    }, { startedAt: this.#startedAt });
    this.#retryBudgets.set(service, budget);
    return budget;
  }

  #applyConfiguration(document: string): void {
    const text = configurations.decompress(document);
    const configuration = this.#options.decodeConfiguration(text);
    this.#catalogue = configurations.Catalogue.create(configuration);
    this.#updateAccountShares(configuration);
    this.#server.setTimeouts(configuration.limits);
    this.#options.metrics.gauge("config.version", configuration.version);
  }

  /** Starts or ends account shares, where the configuration calls for it. */
  #updateAccountShares(
    { accounts }: Pick<configurations.Configuration, "accounts">,
  ): void {
    const isOn = settings.hasAccountShares(this.#options.settings) &&
      accounts.length >= MIN_SHARING_ACCOUNTS;
    if (isOn === (this.#accountShares !== undefined)) return;
    this.#accountShares?.stop();
    this.#accountShares = isOn
      ? accountShares.AccountShares.create({
        ...this.#options,
        calls: this.#network.calls,
        controlHosts: () => this.#syncClient.controlHosts,
      })
      : undefined;
    this.#options.logger.info({ isOn }, "Account shares turned on or off");
  }

  #applyChanges(): void {
    const { roster, hosts } = this.#syncClient;
    this.#hostCount.record(hosts.length, this.#options.clock.now());
    const ended = this.#pool.update(
      roster.entries,
      (name) => this.#catalogue?.service(name),
    );
    this.#applyEvacuations();
    ended.forEach((endpoint) => void this.#closeConnections(endpoint));
    this.#paths.update();
    this.#batcher.update();
    this.#slowness.record();
    this.#options.metrics.gauge("config.proof_age", this.#syncClient.proofAge);
  }

  #applyEvacuations(): void {
    const { clock } = this.#options;
    const { evacuations } = this.#syncClient;
    const returned = evacuations.newerThan(this.#evacuations)
      .filter(({ active, orderedAt }) =>
        !active && clock.wall() - orderedAt < RETURN_WINDOW_MS
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

  #recordExtraAnswer(address: string): void {
    const { logger, metrics } = this.#options;
    const { id, service = "unknown" } = this.#pool.at(address)?.identity ?? {};
    metrics.count("gateway.extra_answers", 1, { service });
    logger.warn(
      { endpoint: id, service, address },
      "Endpoint sent an answer that was not due; its connections rest",
    );
  }

  /** Closes the connections to an endpoint that has ended: at once where
   * another incarnation has replaced it, otherwise when its calls are done. */
  async #closeConnections(
    { identity, isRestarted }: gateway.EndedEndpoint,
  ): Promise<void> {
    const { id, service, address } = identity;
    const { logger } = this.#options;
    logger.info(
      { endpoint: id, service, address, isReborn: isRestarted },
      "Endpoint ended",
    );
    try {
      if (isRestarted) await this.#connections.abort(address);
      else await this.#connections.retire(address);
    } catch (error) {
      logger.warn(
        { err: error, endpoint: id },
        "Connections to ended endpoint not closed",
      );
    }
  }

  /** Inputs of values that other modules derive and cache; these remain valid
   * as long as every element is identical. */
  get #dependencies(): readonly unknown[] {
    return [this.#syncClient.hosts, this.#pool.revision, this.#catalogue];
  }

  get #readyHosts(): readonly schema.EntryHost[] {
    const { hosts } = this.#syncClient;
    if (this.#readyCache.source !== hosts) {
      this.#readyCache = {
        source: hosts,
        hosts: hosts.filter(({ ready }) => ready),
      };
    }
    return this.#readyCache.hosts;
  }

  #workersOf(service: string): batching.Worker[] {
    return this.#pool.endpointsOf(service).map(({ identity }) => identity);
  }

  /** Endpoints of a partition that accept calls. */
  #usableWorkers(
    partition: batching.partitions.PartitionName,
  ): batching.Worker[] {
    const now = this.#options.clock.now();
    return gateway.usableOf(this.#endpointsOf(partition), now)
      .map(({ identity }) => identity);
  }

  #isClosed(partition: batching.partitions.PartitionName): boolean {
    const now = this.#options.clock.now();
    const endpoints = this.#endpointsOf(partition);
    return endpoints.length > 0 &&
      endpoints.every((each) => each.isClosed(now));
  }

  #endpointsOf(
    { service, cell: partition }: batching.partitions.PartitionName,
  ) {
    return batching.partitions.workersOf(partition, this.#workersOf(service))
      .flatMap(({ id }) => this.#pool.get(id) ?? []);
  }

  async #handleMake(question: schema.MakeQuestion): Promise<schema.Reply> {
    if (this.#isDraining) return { type: "failed", reason: "stopped" };
    const { service, request, stage } = question;
    const results = await this.#batcher.compute(question);
    return { type: "made", service, request, stage, results };
  }

  #handleBook(question: schema.BookQuestion): Promise<schema.Reply> {
    return Promise.resolve({
      type: "booked",
      ...this.#batcher.reserve(question),
    });
  }

  #handleNotice(notice: schema.Notice, from: string): void {
    const { type } = notice;
    if (type === "release") {
      this.#batcher.release(notice, notice.handles);
    } else if (type === "drop") {
      this.#batcher.cancel(notice, notice.request);
    } else if (type === "use") {
      this.#recordRemoteLoad(from, notice.uses);
    } else if (type === "limits") {
      this.#quotaClient.mergeLimits(notice.limits);
    } else if (type === "suspects") {
      this.#guard.merge(notice.suspects);
    }
  }

  #recordRemoteLoad(from: string, loads: readonly schema.EngineUse[]): void {
    const { clock } = this.#options;
    const ejected = this.#pool.recordRemoteLoad(from, loads, clock.now());
    for (const endpoint of ejected) {
      gateway.logEjection(endpoint, { ...this.#options, reportedBy: from });
    }
  }
}
