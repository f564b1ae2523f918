/** A host with a disk: keeps the configuration, hears the endpoints, and
 * answers operators and the hosts that take requests.
 * @module */

import * as versions from "../control/versions/mod.ts";
import * as endpoints from "../endpoints/mod.ts";
import * as quarantine from "../quarantine/mod.ts";
import * as rateLimits from "../rate_limits/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as bases from "./host_context.ts";
import * as controlServer from "./control_server.ts";
import * as coreMembers from "./control_members.ts";
import * as entryMembers from "./entry_members.ts";
import * as followers from "./sync_sessions.ts";
import * as protocol from "./control_protocol.ts";
import * as operatorOrders from "./operator_commands.ts";
import * as coalescing from "./coalescer.ts";
import * as spread from "./endpoint_replicator.ts";
import type * as settings from "./settings.ts";
import * as rosterCodec from "./roster_codec.ts";

/** Milliseconds between greetings among hosts with disks. */
const GREETING = 400;
/** Milliseconds in which a majority confirms what is in force, for a host that
 * asks another one soon. */
const SYNC_PATIENCE = 350;
/** Least milliseconds between two such rounds: dozens of hosts ask a control
 * host each second, and each round asks the leader, and it the voters. */
const SYNC_DISTANCE = 100;
/** Heartbeats that an endpoint may miss before it counts as silent. */
const MISSED = 3.5;
/** Milliseconds for which a silent endpoint, or one that is gone, is kept:
 * longer than any late report of it. */
const MEMORY = 60_000;
/** Fewest voters, where there are so many hosts. */
const VOTERS = 5;

/** What a host with a disk is made from. */
export interface ControlHostOptions extends bases.HostContext {
  protocol: protocol.ControlProtocol;
  openStorage: versions.OpenStorage;
}

/** Evacuations, for people. */
export interface EvacuationReport {
  readonly dataCentres: readonly (
    & Omit<schema.Evacuation, "orderedAt">
    & { readonly ageMs: number }
  )[];
  /** Number of entry hosts that follow the host. */
  readonly followers: number;
  /** Those that don't hold the last order yet. */
  readonly behind: readonly string[];
}

/** A running host with a disk. */
export class ControlHost {
  readonly #options: ControlHostOptions;
  readonly #network: bases.Network;
  readonly #members: coreMembers.ControlMembers;
  readonly #entries = entryMembers.EntryMembers.create();
  readonly #roster: endpoints.Roster;
  readonly #spread: spread.EndpointReplicator;
  readonly #coordinator: quarantine.Coordinator;
  readonly #quotas: rateLimits.QuotaServer;
  readonly #followers = followers.SyncSessions.create();
  readonly #epoch: string;
  readonly #confirmations: coalescing.Coalescer<FleetState>;
  /** Undefined until the disk is read. */
  #store?: versions.ConfigurationStore;
  #server?: controlServer.ControlServer;
  #stopped = false;

  private constructor(options: ControlHostOptions) {
    const { settings, clock } = options;
    const { host, dataCentre, seeds, heartbeatInterval: heartbeat } = settings;
    this.#options = options;
    this.#epoch = `${host}/${Math.floor(clock.wall())}`;
    this.#members = coreMembers.ControlMembers.create({ host, dataCentre }, {
      known: seeds,
      now: clock.now(),
    });
    this.#roster = endpoints.Roster.create({
      silenceTimeoutMs: MISSED * heartbeat,
      retentionMs: MEMORY,
    });
    this.#network = bases.createNetwork(options, {
      handlers: {
        confirm: (question) => this.#answer(question),
        replace: (question) => this.#answer(question),
        evacuate: (question) => this.#answer(question),
        sync: (question, from) => this.#sync(question, from),
        note: (question) => this.#note(question),
        suspects: ({ suspects }) => {
          this.#coordinator.merge(suspects);
          return Promise.resolve({ type: "noted" });
        },
        quota: (question) => Promise.resolve(this.#quotas.request(question)),
        warmup: (question) =>
          Promise.resolve(this.#quotas.requestCold(question)),
        lease: (question, from) =>
          Promise.resolve(this.#coordinator.requestLease(question, from)),
      },
      onNotice: (notice, from) => this.#hear(notice, from),
      onLog: (envelope) => this.#store?.receive(envelope),
    });
    this.#confirmations = coalescing.Coalescer.create({
      clock,
      minInterval: SYNC_DISTANCE,
      fetch: () => this.#fleetState(),
    });
    this.#spread = spread.EndpointReplicator.create({
      clock,
      roster: this.#roster,
      heartbeatInterval: heartbeat,
      logger: options.logger,
      calls: this.#network.calls,
      peers: () => this.#others(),
    });
    this.#quotas = rateLimits.QuotaServer.create({
      ...options,
      calls: this.#network.calls,
      recipients:
        () => [...this.#others(), ...this.#followers.live(clock.now())],
    });
    this.#coordinator = quarantine.Coordinator.create({
      ...options,
      calls: this.#network.calls,
      heartbeat,
      cores: () => this.#others(),
      followers: () => this.#followers.live(clock.now()),
      lastHeartbeatAt: (endpoint) => this.#heardAt(endpoint),
    });
  }

  /** Reads the disk, takes part in the log and serves callers. */
  static async start(options: ControlHostOptions): Promise<ControlHost> {
    const host = new ControlHost(options);
    await host.#start();
    return host;
  }

  /** Follows settings that have changed. */
  reload({ seeds }: settings.HostSettings): void {
    this.#members.addKnown(seeds);
    this.#options.logger.info({ seeds }, "Settings read again");
  }

  /** Hands its part in the log over and ends. */
  async stop(): Promise<void> {
    this.#stopped = true;
    this.#store?.transferLeadership();
    await new Promise<void>((resolve) =>
      void this.#options.clock.after(FAREWELL, () => resolve())
    );
    await this.#server?.stop();
    this.#store?.stop();
    this.#network.calls.stop();
    await this.#network.transport.stop();
    this.#options.logger.info({}, "Host stopped");
  }

  /** State for people. */
  dump(): unknown {
    const now = this.#options.clock.now();
    return {
      log: this.#store?.dump(),
      cores: this.#members.live(now),
      entryHosts: this.#entries.live(now),
      endpoints: [...this.#roster.entries],
      suspects: this.#coordinator.dump(),
      limits: this.#quotas.limits,
      evacuations: this.evacuations(),
      peers: this.#network.transport.dump(),
    };
  }

  /** Evacuations as this host knows them, and the entry hosts that follow it and
   * don't hold the last order yet. */
  evacuations(): EvacuationReport {
    const { clock } = this.#options;
    const known = this.#store?.evacuations ?? versions.Evacuations.NONE;
    return {
      dataCentres: known.list.map(({ orderedAt, ...order }) => ({
        ...order,
        ageMs: Math.max(0, Math.round(clock.wall() - orderedAt)),
      })),
      followers: this.#followers.live(clock.now()).length,
      behind: this.#followers.behind(known.totalRevision, clock.now()),
    };
  }

  /** Lets a quarantined request run again on all hosts, by an operator's order;
   * false where it is not suspected. */
  release(fingerprint: string): boolean {
    return this.#coordinator.release(fingerprint);
  }

  async #start(): Promise<void> {
    const { settings, logger, clock, openStorage: open } = this.#options;
    const { host, seeds, isBootstrap: isFirstStart, controlAddress: control } =
      settings;
    const founds = isFirstStart && seeds.includes(host);
    await this.#network.transport.start();
    this.#store = await versions.ConfigurationStore.start({
      ...this.#options,
      self: host,
      initialVoters: seeds,
      isBootstrap: founds,
      transport: this.#network.transport,
      openStorage: open,
      callHost: (to, question, options) =>
        this.#network.calls.ask(to, question, options),
      // Hosts without a vote hear of a leader by greetings alone.
      onElected: () => this.#greet(clock.now()),
    });
    this.#tick();
    if (control !== undefined) {
      this.#server = await controlServer.ControlServer.start({
        listenAddress: control,
        logger,
        metrics: this.#options.metrics,
        clock,
        protocol: this.#options.protocol,
        handlers: {
          ...operatorOrders.handlers({
            store: this.#store,
            logger,
            dataCentres: Object.keys(settings.regions),
          }),
          heartbeat: (order) => this.#heartbeat(order),
          leave: (order) => this.#leave(order),
        },
      });
    }
    logger.info({ founds, seeds }, "Host started");
  }

  #tick(): void {
    if (this.#stopped) return;
    const { clock } = this.#options;
    const now = clock.now();
    this.#members.addKnown(this.#store?.voters ?? []);
    this.#store?.setKnownHosts(this.#members.others);
    this.#greet(now);
    this.#roster.expire(now);
    this.#spread.tick();
    this.#coordinator.tick();
    this.#quotas.tick();
    this.#options.metrics.gauge(
      "evacuation.active",
      this.#store?.evacuations.active.length ?? 0,
    );
    this.#chooseVoters(now);
    clock.after(GREETING, () => this.#tick());
  }

  #greet(now: number): void {
    const { settings: { dataCentre } } = this.#options;
    const cores = this.#members.live(now).map(({ host }) => host);
    const hosts = this.#entries.live(now);
    for (const other of this.#members.others) {
      const notice = {
        type: "hello" as const,
        dataCentre,
        cores,
        hosts,
        leadership: this.#store?.leadership,
        ...this.#limits,
      };
      this.#network.calls.cast(other, notice);
    }
  }

  /** Rate limits as messages carry them: nothing without any. */
  get #limits(): { limits?: schema.EndpointLimit[] } {
    const { limits: told } = this.#quotas;
    return told.length > 0 ? { limits: told } : {};
  }

  #chooseVoters(now: number): void {
    const store = this.#store;
    if (store === undefined || !store.isLeader) return;
    const { voters } = store;
    const { host: leader, toleratedLosses: lossesBorne } =
      this.#options.settings;
    const most = Math.max(VOTERS, 2 * lossesBorne + 1);
    const live = this.#members.candidates(voters, now);
    store.setDesiredVoters(
      coreMembers.chooseVoters({ leader, live, voters, maxVoters: most }),
    );
  }

  #others(): string[] {
    const { host } = this.#options.settings;
    return this.#members.live(this.#options.clock.now())
      .map((each) => each.host)
      .filter((other) => other !== host);
  }

  #hear(notice: schema.Notice, from: string): void {
    if (notice.type === "hello") this.#greeted(notice, from);
    else if (notice.type === "suspects") {
      this.#coordinator.merge(notice.suspects);
    } else if (notice.type === "limits") {
      this.#quotas.mergeLimits(notice.limits);
    } else if (notice.type === "lease-over") {
      this.#coordinator.endLease(notice.fingerprint, from);
    }
  }

  #greeted(
    { dataCentre, cores, hosts, leadership, limits = [] }: schema.HelloNotice,
    from: string,
  ): void {
    const now = this.#options.clock.now();
    const isNew = !this.#others().includes(from);
    this.#members.recordHello({ host: from, dataCentre, heard: now });
    this.#members.addKnown(cores);
    hosts.forEach((host) => this.#entries.record(host, now));
    if (leadership !== undefined) this.#store?.updateLeaderHint(leadership);
    this.#quotas.mergeLimits(limits);
    // A host that has just come knows no endpoints and no suspects.
    if (!isNew) return;
    this.#spread.sendAll(from);
    this.#coordinator.sendAll(from);
  }

  #heardAt(endpoint: string): number | undefined {
    const entry = this.#roster.find(endpoint);
    // One that has taken leave has ended, and did not crash.
    return entry?.state === "gone" ? Infinity : entry?.heardAt;
  }

  async #sync(
    question: schema.SyncQuestion,
    from: string,
  ): Promise<schema.Reply> {
    const { clock } = this.#options;
    this.#entries.record({ ...question.host, host: from }, clock.now());
    const { evacuationOrders: orders = 0 } = question;
    this.#followers.record(from, { now: clock.now(), orders });
    const { edition, evacuations, hosts, mark, cores } = await this
      .#confirmations.join();
    const now = clock.now();
    const isSame = question.epoch === this.#epoch;
    const since = isSame ? question.revision : 0;
    const { version, document } = edition ?? versions.NO_VERSION;
    return {
      type: "synced",
      confirmed: edition !== undefined,
      version,
      ...(version > question.version && { document }),
      epoch: this.#epoch,
      revision: this.#roster.revision,
      sightings: this.#roster.changedSince(since).map((entry) =>
        rosterCodec.encode(entry, now)
      ),
      mark,
      ...(mark !== question.mark && { hosts }),
      cores,
      evacuations,
      ...this.#limits,
      ...this.#coordinator.changesSince(
        isSame ? question.suspectRevision ?? 0 : 0,
      ),
    };
  }

  /** What all who ask in one round are told alike. */
  async #fleetState(): Promise<FleetState> {
    const edition = await this.#confirmed();
    const now = this.#options.clock.now();
    const hosts = this.#entries.live(now);
    const mark = entryMembers.digestOf(hosts);
    const cores = this.#members.live(now).map(({ host }) => host);
    const evacuations = this.#store?.evacuations.list ?? [];
    return { edition, evacuations, hosts, mark, cores };
  }

  async #confirmed(): Promise<versions.ConfigurationVersion | undefined> {
    try {
      return await this.#store?.read(SYNC_PATIENCE);
    } catch (error) {
      if (!(error instanceof versions.StoreError)) throw error;
      this.#options.metrics.count("config.unconfirmed");
      return undefined;
    }
  }

  async #answer(
    question: versions.LeaderQuestion,
  ): Promise<schema.Reply> {
    const reply = await this.#store?.handle(question);
    return reply ?? { type: "failed", reason: "stopped" };
  }

  #note({ sightings: told }: schema.NoteQuestion): Promise<schema.Reply> {
    const now = this.#options.clock.now();
    for (const sighting of told) {
      this.#roster.merge(rosterCodec.decode(sighting, { now, judges: true }));
    }
    return Promise.resolve({ type: "noted" });
  }

  async #heartbeat(
    { sighting, coldFor }: Order<"heartbeat">,
  ): Promise<protocol.ControlResponse> {
    const heard = this.#options.clock.now();
    const coldUntil = coldFor > 0 ? heard + coldFor : 0;
    const isNews = this.#roster.merge({
      status: sighting,
      heardAt: heard,
      coldUntil,
    });
    this.#spread.recordHeartbeat(sighting.id);
    if (sighting.state === "ready" && !isNews) return DONE;
    return await this.#tell(sighting.id, sighting.state);
  }

  #leave({ id, born }: Order<"leave">): Promise<protocol.ControlResponse> {
    this.#roster.recordLeave({ id, born }, this.#options.clock.now());
    this.#spread.recordHeartbeat(id);
    return this.#tell(id, "gone");
  }

  /** Tells the other hosts of a change. One that takes an endpoint away is
   * acknowledged only when a majority of the voters knows: any host that is of
   * use to an entry host is in touch with one of these. */
  async #tell(
    id: string,
    state: endpoints.EndpointState,
  ): Promise<protocol.ControlResponse> {
    const { logger } = this.#options;
    if (state === "ready") {
      void this.#spread.broadcast(id);
      logger.info({ endpoint: id, state }, "Endpoint changed");
      return DONE;
    }
    const { host } = this.#options.settings;
    const told = [host, ...await this.#spread.broadcast(id)];
    const voters = this.#store?.voters ?? [];
    const isKnown = this.#members.isMajority(told, voters);
    logger.info(
      { endpoint: id, state, told, voters, isKnown },
      "Endpoint leaves",
    );
    return isKnown ? DONE : protocol.problem(503, "other hosts do not answer");
  }
}

/** Milliseconds for which a host that stops still answers: its successor in
 * the log is elected within. */
const FAREWELL = 300;

/** What a round has confirmed, and the fleet as it is then. */
interface FleetState {
  /** Undefined where no majority has answered. */
  readonly edition: versions.ConfigurationVersion | undefined;
  readonly evacuations: schema.Evacuation[];
  readonly hosts: schema.EntryHost[];
  readonly mark: string;
  /** Hosts with disks. */
  readonly cores: string[];
}

type Order<T> = Extract<protocol.ControlCommand, { type: T }>;

const DONE: protocol.ControlResponse = { status: 200, body: "{}" };
