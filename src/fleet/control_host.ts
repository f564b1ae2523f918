/** A control host: it replicates the configuration on disk, receives endpoint
 * heartbeats, and serves operators and the entry hosts.
 * @module */

import * as versions from "../control/versions/mod.ts";
import * as endpoints from "../endpoints/mod.ts";
import * as accountShares from "../account_shares/mod.ts";
import * as concurrency from "../concurrency/mod.ts";
import type * as peers from "../peers/mod.ts";
import * as origins from "../origins/mod.ts";
import * as performances from "../performance/mod.ts";
import * as quarantine from "../quarantine/mod.ts";
import * as rateLimits from "../rate_limits/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as hostContext from "./host_context.ts";
import * as controlServer from "./control_server.ts";
import * as hostLimits from "./host_limits.ts";
import * as controlMembers from "./control_members.ts";
import * as entryMembers from "./entry_members.ts";
import * as knownServices from "./known_services.ts";
import * as syncSessions from "./sync_sessions.ts";
import * as protocol from "./control_protocol.ts";
import * as operatorCommands from "./operator_commands.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as coalescers from "./coalescer.ts";
import * as departureJournals from "./departure_journal.ts";
import * as endpointReplicator from "./endpoint_replicator.ts";
import * as settings from "./settings.ts";
import * as rosterCodec from "./roster_codec.ts";
import * as delays from "../runtime/delay.ts";
import type * as runtime from "../runtime/mod.ts";

/** Interval of hello messages between control hosts, and of `#tick`. */
const HELLO_INTERVAL_MS = 400;
/** Timeout for a quorum to confirm the current configuration. Short, since the
 * entry host that waits for it soon hedges to another control host. */
const CONFIRM_TIMEOUT_MS = 350;
/** Least interval between two confirmations: dozens of entry hosts sync with a
 * control host each second, and each confirmation is a round trip to the leader
 * and from there to the voters. */
const MIN_CONFIRM_INTERVAL_MS = 100;
/** Heartbeat intervals without a heartbeat after which an endpoint is
 * silent. */
const MISSED_HEARTBEAT_COUNT = 3.5;
/** How long silent and removed endpoints are retained. Longer than any delayed
 * report can take, so that such a report does not bring one back. */
const RETENTION_MS = 60_000;
/** Number of voters when there are enough control hosts; higher when more
 * losses must be tolerated. */
const DEFAULT_VOTER_COUNT = 5;

/** Log lines about heartbeats that name an unknown service: endpoints of a new
 * service send many until the configuration has it. */
const UNKNOWN_SERVICE_LOG_BOUNDS = { rate: 0.2, burst: 5 };

/** Dependencies of a control host. */
export interface ControlHostOptions extends hostContext.HostContext {
  protocol: protocol.ControlProtocol;
  decodeConfiguration: hostContext.DecodeConfiguration;
  openStorage: versions.OpenStorage;
  /** Opens a storage apart from the log's, for the origins of streams. */
  openOriginStorage: runtime.OpenStorage;
  /** Opens a storage apart from these, for the departures of endpoints. */
  openDepartureStorage: runtime.OpenStorage;
}

/** Report of evacuations to operators. */
export interface EvacuationReport {
  readonly dataCentres: readonly (
    & Omit<schema.Evacuation, "orderedAt">
    & { readonly ageMs: number }
  )[];
  /** Number of entry hosts that sync from this control host. */
  readonly followers: number;
  /** Entry hosts among them that have not received the latest command. */
  readonly behind: readonly string[];
}

/** A running control host. */
export class ControlHost {
  readonly #options: ControlHostOptions;
  readonly #network: hostContext.Network;
  readonly #members: controlMembers.ControlMembers;
  readonly #entryMembers = entryMembers.EntryMembers.create();
  readonly #roster: endpoints.Roster;
  readonly #services: knownServices.KnownServices;
  readonly #unknownServiceLogger: telemetry.Logger;
  readonly #departures: departureJournals.DepartureJournal;
  readonly #replicator: endpointReplicator.EndpointReplicator;
  readonly #coordinator: quarantine.Coordinator;
  readonly #quotaServer: rateLimits.QuotaServer;
  readonly #slotServer: concurrency.SlotServer;
  readonly #originServer: origins.OriginServer;
  /** Undefined where the slowness of endpoints is not estimated. */
  readonly #slowness?: performances.SlownessTable;
  /** Undefined where accounts have no shares. */
  readonly #shareCoordinator?: accountShares.ShareCoordinator;
  readonly #syncSessions = syncSessions.SyncSessions.create();
  readonly #epoch: string;
  readonly #confirmations: coalescers.Coalescer<FleetState>;
  /** Undefined until the disk has been read. */
  #store?: versions.ConfigurationStore;
  #server?: controlServer.ControlServer;
  #stopped = false;

  private constructor(options: ControlHostOptions) {
    const { clock } = options;
    const { host, dataCentre, seeds, heartbeatInterval } = options.settings;
    this.#options = options;
    this.#epoch = `${host}/${options.incarnation}`;
    this.#members = controlMembers.ControlMembers.create({ host, dataCentre }, {
      known: seeds,
      now: clock.now(),
    });
    this.#services = knownServices.KnownServices.create({
      ...options,
      configuration: () => this.#store?.configuration,
    });
    this.#unknownServiceLogger = telemetry.boundLogger(
      options.logger,
      clock,
      UNKNOWN_SERVICE_LOG_BOUNDS,
    );
    this.#roster = endpoints.Roster.create({
      silenceTimeoutMs: MISSED_HEARTBEAT_COUNT * heartbeatInterval,
      retentionMs: RETENTION_MS,
      isKnownService: (name) => this.#services.has(name),
    });
    this.#slowness = options.settings.disabledParts.has("performance")
      ? undefined
      : performances.SlownessTable.create();
    const coordinator = settings.hasAccountShares(options.settings)
      ? accountShares.ShareCoordinator.create({ ...options, self: host })
      : undefined;
    this.#shareCoordinator = coordinator;
    this.#network = hostContext.createNetwork(options, {
      handlers: {
        confirm: (question) => this.#handleLeaderQuestion(question),
        replace: (question) => this.#handleLeaderQuestion(question),
        evacuate: (question) => this.#handleLeaderQuestion(question),
        sync: (question, from) => this.#handleSync(question, from),
        note: (question) => this.#replicator.receive(question),
        suspects: ({ suspects }) => {
          this.#coordinator.merge(suspects);
          return Promise.resolve({ type: "noted" });
        },
        quota: (question) =>
          Promise.resolve(this.#quotaServer.request(question)),
        warmup: (question) =>
          Promise.resolve(this.#quotaServer.requestCold(question)),
        slot: (question, from) =>
          Promise.resolve(this.#slotServer.request(question, from)),
        origins: (question) =>
          Promise.resolve(this.#originServer.store(question)),
        origin: (question) => this.#originServer.find(question),
        versions: (question) =>
          Promise.resolve(this.#originServer.versions(question)),
        lease: (question, from) =>
          Promise.resolve(this.#coordinator.requestLease(question, from)),
        shares: coordinator &&
          ((question, from) =>
            Promise.resolve(coordinator.answer(question, from))),
      },
      onNotice: (notice, sender) => this.#handleNotice(notice, sender),
      onLog: (envelope) => this.#store?.receive(envelope),
    });
    this.#confirmations = coalescers.Coalescer.create({
      clock,
      minInterval: MIN_CONFIRM_INTERVAL_MS,
      fetch: () => this.#readFleetState(),
    });
    this.#departures = departureJournals.DepartureJournal.create({
      ...options,
      roster: this.#roster,
      openStorage: options.openDepartureStorage,
    });
    this.#replicator = endpointReplicator.EndpointReplicator.create({
      clock,
      roster: this.#roster,
      departures: this.#departures,
      heartbeatInterval,
      logger: options.logger,
      calls: this.#network.calls,
      peers: () => this.#peers(),
    });
    this.#slotServer = concurrency.SlotServer.create(options);
    this.#originServer = origins.OriginServer.create({
      ...options,
      openStorage: options.openOriginStorage,
      endpoints: () => this.#roster.entries,
    });
    this.#quotaServer = rateLimits.QuotaServer.create({
      ...options,
      calls: this.#network.calls,
      recipients:
        () => [...this.#peers(), ...this.#syncSessions.live(clock.now())],
    });
    this.#coordinator = quarantine.Coordinator.create({
      ...options,
      calls: this.#network.calls,
      heartbeat: heartbeatInterval,
      controlHosts: () => this.#peers(),
      entryHosts: () => this.#syncSessions.live(clock.now()),
      lastHeartbeatAt: (endpoint) => this.#lastHeartbeatAt(endpoint),
    });
  }

  /** Recovers from disk, joins the replicated log and starts to serve. */
  static async start(options: ControlHostOptions): Promise<ControlHost> {
    const host = new ControlHost(options);
    await host.#start();
    return host;
  }

  /** Applies changed settings; only the seeds are reloaded. */
  reload({ seeds }: settings.HostSettings): void {
    this.#members.addKnown(seeds);
    this.#options.logger.info({ seeds }, "Settings reloaded");
  }

  /** Transfers log leadership to another voter and stops. */
  async stop(): Promise<void> {
    this.#stopped = true;
    this.#store?.transferLeadership();
    await delays.sleep(this.#options.clock, HANDOVER_MS);
    await this.#server?.stop();
    this.#store?.stop();
    this.#network.calls.stop();
    await this.#network.transport.stop();
    this.#options.logger.info({}, "Host stopped");
  }

  /** Diagnostic state, for operators. */
  dump(): unknown {
    const now = this.#options.clock.now();
    return {
      log: this.#store?.dump(),
      cores: this.#members.live(now),
      entryHosts: this.#entryMembers.live(now),
      endpoints: [...this.#roster.entries],
      suspects: this.#coordinator.dump(),
      limits: this.#quotaServer.limits,
      origins: this.#originServer.dump(),
      slowness: this.#slowness?.dump(now),
      accountShares: this.#shareCoordinator?.dump(),
      evacuations: this.evacuations(),
      peers: this.#network.transport.dump(),
    };
  }

  /** Evacuations known to this host, and which of the entry hosts that sync
   * from it have not received the latest command yet. */
  evacuations(): EvacuationReport {
    const { clock } = this.#options;
    const evacuations = this.#store?.evacuations ?? versions.Evacuations.NONE;
    return {
      dataCentres: evacuations.list.map(({ orderedAt, ...evacuation }) => ({
        ...evacuation,
        ageMs: Math.max(0, Math.round(clock.wall() - orderedAt)),
      })),
      followers: this.#syncSessions.live(clock.now()).length,
      behind: this.#syncSessions.behind(evacuations.totalRevision, clock.now()),
    };
  }

  /** Releases a request from quarantine on all hosts. Returns false when it is
   * not a suspect. */
  release(fingerprint: string): boolean {
    return this.#coordinator.release(fingerprint);
  }

  async #start(): Promise<void> {
    const { settings, logger, clock, openStorage } = this.#options;
    const { host, seeds, isBootstrap, controlAddress } = settings;
    const bootstraps = isBootstrap && seeds.includes(host);
    // Before any host can sync with this one.
    await this.#departures.open();
    await this.#network.transport.start();
    this.#store = await versions.ConfigurationStore.start({
      ...this.#options,
      self: host,
      initialVoters: seeds,
      isBootstrap: bootstraps,
      transport: this.#network.transport,
      openStorage,
      callHost: (target, question, options) =>
        this.#network.calls.ask(target, question, options),
      // Non-voters learn of the leader from hello messages only.
      onElected: () => this.#sendHellos(clock.now()),
    });
    this.#tick();
    if (controlAddress !== undefined) {
      this.#server = await controlServer.ControlServer.start({
        listenAddress: controlAddress,
        logger,
        metrics: this.#options.metrics,
        clock,
        bounds: hostLimits.controlBounds(settings),
        protocol: this.#options.protocol,
        handlers: {
          ...operatorCommands.handlers({
            store: this.#store,
            logger,
            dataCentres: Object.keys(settings.regions),
          }),
          heartbeat: (command) => this.#handleHeartbeat(command),
          leave: (command) => this.#handleLeave(command),
        },
      });
    }
    logger.info({ founds: bootstraps, seeds }, "Host started");
  }

  #tick(): void {
    if (this.#stopped) return;
    const { clock } = this.#options;
    const now = clock.now();
    this.#members.addKnown(this.#store?.voters ?? []);
    this.#store?.setKnownHosts(this.#members.others);
    this.#sendHellos(now);
    this.#roster.expire(now);
    this.#departures.tick();
    this.#replicator.tick();
    this.#coordinator.tick();
    this.#quotaServer.tick();
    this.#slotServer.tick();
    this.#originServer.tick();
    this.#slowness?.expire(now);
    this.#shareCoordinator?.tick();
    this.#options.metrics.gauge(
      "evacuation.active",
      this.#store?.evacuations.active.length ?? 0,
    );
    this.#updateVoters(now);
    clock.after(HELLO_INTERVAL_MS, () => this.#tick());
  }

  #sendHellos(now: number): void {
    const { settings: { dataCentre } } = this.#options;
    const controlHosts = this.#members.live(now).map(({ host }) => host);
    const hosts = this.#entryMembers.live(now);
    const slowness = slownessField(this.#slowness?.takeForwards());
    for (const peer of this.#members.others) {
      const notice = {
        type: "hello" as const,
        dataCentre,
        cores: controlHosts,
        hosts,
        leadership: this.#store?.leadership,
        ...this.#limits,
        ...slowness,
        ...contendedField(this.#shareCoordinator?.watched),
      };
      this.#network.calls.cast(peer, notice);
    }
  }

  /** Rate limits as a message field, which is absent when there are none. */
  get #limits(): { limits?: schema.EndpointLimit[] } {
    const { limits } = this.#quotaServer;
    return limits.length > 0 ? { limits } : {};
  }

  #updateVoters(now: number): void {
    const store = this.#store;
    if (store === undefined || !store.isLeader) return;
    const { voters } = store;
    const { host: leader, toleratedLosses } = this.#options.settings;
    const maxVoters = Math.max(DEFAULT_VOTER_COUNT, 2 * toleratedLosses + 1);
    const live = this.#members.candidates(voters, now);
    store.setDesiredVoters(
      controlMembers.chooseVoters({ leader, live, voters, maxVoters }),
    );
  }

  #peers(): string[] {
    const { host } = this.#options.settings;
    return this.#members.live(this.#options.clock.now())
      .map((member) => member.host)
      .filter((peer) => peer !== host);
  }

  #handleNotice(notice: schema.Notice, sender: peers.Process): void {
    const { from } = sender;
    if (notice.type === "hello") this.#handleHello(notice, sender);
    else if (notice.type === "suspects") {
      this.#coordinator.merge(notice.suspects);
    } else if (notice.type === "limits") {
      this.#quotaServer.mergeLimits(notice.limits);
    } else if (notice.type === "slots") {
      this.#slotServer.record(notice, from);
    } else if (notice.type === "lease-over") {
      this.#coordinator.endLease(notice, from);
    }
  }

  #handleHello(
    { dataCentre, cores: controlHosts, hosts, leadership, ...shared }:
      schema.HelloNotice,
    { from, fromIncarnation: incarnation }: peers.Process,
  ): void {
    const { limits = [], slowness = [], contended = [] } = shared;
    const now = this.#options.clock.now();
    const isNewProcess = this.#members.recordHello({
      host: from,
      dataCentre,
      incarnation,
      heard: now,
    });
    this.#members.addKnown(controlHosts);
    hosts.forEach((host) => this.#entryMembers.record(host, now));
    if (leadership !== undefined) this.#store?.updateLeaderHint(leadership);
    this.#quotaServer.mergeLimits(limits);
    this.#slowness?.merge(slowness, now);
    this.#shareCoordinator?.merge(contended, from);
    // A process that has just started knows no endpoints and no suspects.
    if (!isNewProcess) return;
    this.#replicator.sendAll(from);
    this.#coordinator.sendAll(from);
  }

  #lastHeartbeatAt(endpoint: string): number | undefined {
    const entry = this.#roster.find(endpoint);
    // An endpoint that deregistered stopped on purpose; it did not crash.
    return entry?.state === "gone" ? Infinity : entry?.heardAt;
  }

  async #handleSync(
    question: schema.SyncQuestion,
    from: string,
  ): Promise<schema.Reply> {
    const { clock } = this.#options;
    this.#entryMembers.record({ ...question.host, host: from }, clock.now());
    const { evacuationOrders: totalRevision = 0, slowness = [] } = question;
    this.#slowness?.record(slowness, clock.now());
    this.#syncSessions.record(from, { now: clock.now(), totalRevision });
    const { configuration, evacuations, hosts, hostsDigest, controlHosts } =
      await this
        .#confirmations.join();
    const now = clock.now();
    const isSame = question.epoch === this.#epoch;
    const since = isSame ? question.revision : 0;
    const { version, document } = configuration ?? versions.NO_VERSION;
    const changed = this.#roster.changedSince(since);
    this.#originServer.recordReport(changed);
    return {
      type: "synced",
      confirmed: configuration !== undefined,
      version,
      ...(version > question.version && { document }),
      epoch: this.#epoch,
      revision: this.#roster.revision,
      sightings: changed.map((entry) => rosterCodec.encode(entry, now)),
      mark: hostsDigest,
      ...(hostsDigest !== question.mark && { hosts }),
      cores: controlHosts,
      evacuations,
      ...this.#limits,
      ...slownessField(this.#slowness?.read({ now, isAll: !isSame })),
      ...contendedField(this.#shareCoordinator?.contended),
      ...this.#coordinator.changesSince(
        isSame ? question.suspectRevision ?? 0 : 0,
      ),
    };
  }

  /** Fleet state that all sync requests of one round share. */
  async #readFleetState(): Promise<FleetState> {
    const configuration = await this.#readConfirmed();
    const now = this.#options.clock.now();
    const hosts = this.#entryMembers.live(now);
    const hostsDigest = entryMembers.digestOf(hosts);
    const controlHosts = this.#members.live(now).map(({ host }) => host);
    const evacuations = this.#store?.evacuations.list ?? [];
    return { configuration, evacuations, hosts, hostsDigest, controlHosts };
  }

  async #readConfirmed(): Promise<versions.ConfigurationVersion | undefined> {
    try {
      return await this.#store?.read(CONFIRM_TIMEOUT_MS);
    } catch (error) {
      if (!(error instanceof versions.StoreError)) throw error;
      this.#options.metrics.count("config.unconfirmed");
      return undefined;
    }
  }

  async #handleLeaderQuestion(
    question: versions.LeaderQuestion,
  ): Promise<schema.Reply> {
    const reply = await this.#store?.handle(question);
    return reply ?? { type: "failed", reason: "stopped" };
  }

  async #handleHeartbeat(
    { sighting, coldFor }: CommandOf<"heartbeat">,
  ): Promise<protocol.ControlResponse> {
    if (!this.#services.has(sighting.service)) {
      this.#recordUnknownService(sighting);
    }
    const heard = this.#options.clock.now();
    const coldUntil = coldFor > 0 ? heard + coldFor : 0;
    const isChange = this.#roster.merge({
      status: sighting,
      heardAt: heard,
      coldUntil,
    });
    this.#replicator.recordHeartbeat(sighting.id);
    if (sighting.state === "ready" && !isChange) return OK;
    return await this.#replicateChange(sighting.id, sighting.state);
  }

  /** Records a heartbeat that names an unknown service. */
  #recordUnknownService(
    { id, born, service, address }: endpoints.EndpointStatus,
  ): void {
    this.#options.metrics.count("control.unknown_service");
    this.#unknownServiceLogger.warn(
      { endpoint: id, born, service, address },
      "Heartbeat names a service that the configuration does not have",
    );
  }

  #handleLeave(
    { id, born }: CommandOf<"leave">,
  ): Promise<protocol.ControlResponse> {
    this.#roster.recordLeave({ id, born }, this.#options.clock.now());
    this.#replicator.recordHeartbeat(id);
    return this.#replicateChange(id, "gone");
  }

  /** Replicates a state change to the other control hosts. A drain or
   * deregistration is acknowledged only once a majority of the voters has it on
   * disk: a control host can confirm anything to an entry host only while it
   * reaches a majority, which includes at least one of these, also after all of
   * them have been killed. */
  async #replicateChange(
    id: string,
    state: endpoints.EndpointState,
  ): Promise<protocol.ControlResponse> {
    const { logger } = this.#options;
    if (state === "ready") {
      void this.#replicator.broadcast(id);
      logger.info({ endpoint: id, state }, "Endpoint changed");
      return OK;
    }
    const { host } = this.#options.settings;
    const entry = this.#roster.get(id);
    const [isStored, others] = await Promise.all([
      this.#departures.store(entry === undefined ? [] : [entry]),
      this.#replicator.broadcast(id),
    ]);
    const acknowledged = isStored ? [host, ...others] : others;
    const voters = this.#store?.voters ?? [];
    const isAcknowledged = this.#members.isMajority(acknowledged, voters);
    logger.info(
      {
        endpoint: id,
        state,
        told: acknowledged,
        voters,
        isKnown: isAcknowledged,
      },
      "Endpoint drained or deregistered",
    );
    return isAcknowledged
      ? OK
      : protocol.problem(503, "no majority of the voters has stored it");
  }
}

/** Reports as a message field, which is absent when there are none. */
function slownessField(
  slowness: performances.SlownessReport[] = [],
): { slowness?: schema.SlownessReport[] } {
  return slowness.length > 0 ? { slowness } : {};
}

/** Services under contention as a message field, which is absent when there are
 * none. */
function contendedField(
  contended: string[] = [],
): { contended?: string[] } {
  return contended.length > 0 ? { contended } : {};
}

/** How long a stopping host keeps answering, so that its successor as leader is
 * elected meanwhile. */
const HANDOVER_MS = 300;

/** Result of one confirmation round: configuration and members at that time. */
interface FleetState {
  /** Undefined when no quorum answered. */
  readonly configuration: versions.ConfigurationVersion | undefined;
  readonly evacuations: schema.Evacuation[];
  readonly hosts: schema.EntryHost[];
  readonly hostsDigest: string;
  /** Control hosts. */
  readonly controlHosts: string[];
}

type CommandOf<T> = Extract<protocol.ControlCommand, { type: T }>;

const OK: protocol.ControlResponse = { status: 200, body: "{}" };
