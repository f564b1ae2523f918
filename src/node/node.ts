/** A host of the system, assembled from its settings:
 *
 *     const host = await node.Node.start({ settings });
 *     await host.ready;
 *     ... // callers at host.callersPort, operators at host.operatorsPort
 *     await host.stop();
 *
 * @module */

import * as operators from "../operators/mod.ts";
import * as delays from "../runtime/delay.ts";
import type * as schema from "../schema/settings_types.ts";
import * as hostContext from "./host_context.ts";
import type * as options from "./options.ts";
import * as parts from "./parts.ts";
import * as readiness from "./readiness.ts";
import * as serving from "./serving.ts";
import * as version from "./version.ts";

/** Time for the leave message to reach the peers before the transport closes. */
const LEAVE_PROPAGATION_MS = 200;

/** A host of the fleet. */
export class Node implements operators.Host {
  /** Resolves once callers are served, after the table has caught up with the
   * fleet; rejects when the host stops before. */
  readonly ready: Promise<void>;
  readonly #context: hostContext.HostContext;
  readonly #parts: parts.Parts;
  readonly #startedAt: number;
  #operators: operators.Server | undefined;
  #state: operators.HostState = "ready";
  #stopping: Promise<void> | undefined;
  #stopWaiting = () => {};

  private constructor(
    context: hostContext.HostContext,
    startedParts: parts.Parts,
  ) {
    this.#context = context;
    this.#parts = startedParts;
    this.#startedAt = context.clock.now();
    this.ready = this.#serveCallers();
    // If nobody awaits `ready`, a stop before readiness must not become an
    // unhandled rejection.
    this.ready.catch((err) =>
      context.logger.debug({ err }, "Host did not become ready")
    );
  }

  /** Reads secrets and stored state, listens for peers and operators, and joins
   * the fleet. Callers are served once `ready` resolves. */
  static async start(options: options.Options): Promise<Node> {
    const context = await hostContext.create(options);
    const startedParts = await parts.start(context, options);
    const host = new Node(context, startedParts);
    try {
      host.#operators = await operators.Server.start({
        listener: options.settings.listen.operators,
        operators: operators.Operators.create(context.secrets.operators),
        host,
        ...context,
      });
    } catch (error) {
      await host.stop();
      throw error;
    }
    context.logger.info({ version: version.VERSION }, "Host started");
    return host;
  }

  /** Port of the callers' interface; 0 before `ready`. */
  get callersPort(): number {
    return this.#parts.path.port;
  }

  /** Port of the operators' API. */
  get operatorsPort(): number {
    return this.#operators?.port ?? 0;
  }

  /** The table as this host sees and edits it. */
  get table(): operators.TableAccess {
    return this.#parts.source.access;
  }

  pipelines(): readonly schema.Pipeline[] {
    return this.#context.settings.pipelines;
  }

  endpoints(): readonly operators.EndpointView[] {
    const { settings } = this.#context;
    return serving.views(settings, this.#parts.directory.serving);
  }

  status(): operators.Status {
    const { settings, clock } = this.#context;
    const { source, members, path } = this.#parts;
    const self = settings.fleet.hosts.find(({ id }) => id === settings.host)!;
    return {
      host: settings.host,
      dataCentre: self.dataCentre,
      region: self.region,
      version: version.VERSION,
      state: this.#state,
      uptime: Math.round(clock.now() - this.#startedAt),
      revision: source.access.view().revision,
      inFlight: path.inFlight,
      endpoints: this.endpoints().length,
      parts: {
        members: members.membership.live.length,
        control: source.status(),
      },
    };
  }

  dump(): unknown {
    const { tally, settings } = this.#context;
    const { source, members, path, directory, transport } = this.#parts;
    const { orders, limits } = this.#parts;
    const rows = source.access.view().rows();
    return {
      status: this.status(),
      metrics: tally.toJSON(),
      path: path.dump(),
      table: operators.redactRows(rows),
      control: source.dump(),
      members: members.membership.toJSON(),
      endpoints: directory.dump(),
      orders: orders.dump(),
      shares: limits.dump(),
      peers: transport.dump(),
      settings: redactSettings(settings),
    };
  }

  /** Refuses new requests and finishes those in flight; the host keeps
   * running. */
  drain(): void {
    if (this.#state !== "ready") return;
    this.#state = "draining";
    const { path, members } = this.#parts;
    path.drain();
    members.drain("asked to drain");
    this.#pollDrain();
  }

  /** Drains, waits for requests in flight for at most the longest deadline,
   * leaves the fleet and closes all connections. */
  stop(): Promise<void> {
    this.#stopping ??= this.#stop();
    return this.#stopping;
  }

  async #serveCallers(): Promise<void> {
    const { source, directory, path } = this.#parts;
    const { clock, settings, logger } = this.#context;
    await readiness.wait({
      clock,
      source,
      directory,
      isSingleHost: settings.fleet.hosts.length === 1,
      onCancel: (cancel) => this.#stopWaiting = cancel,
    });
    await path.start();
    logger.info({ port: path.port }, "Serving callers");
  }

  /** Polls until no request is in flight, then marks the host as drained. */
  #pollDrain(): void {
    const { clock, logger } = this.#context;
    if (this.#stopping !== undefined) return;
    if (this.#parts.path.inFlight > 0) {
      clock.after(DRAIN_POLL_INTERVAL_MS, () => this.#pollDrain());
      return;
    }
    this.#state = "drained";
    logger.info({}, "Host drained");
  }

  async #stop(): Promise<void> {
    const { clock, logger, closeMetrics } = this.#context;
    const { path, members, source } = this.#parts;
    this.drain();
    this.#stopWaiting();
    await Promise.allSettled([this.ready]);
    source.drain();
    await path.stop();
    members.leave();
    await delays.sleep(clock, LEAVE_PROPAGATION_MS);
    await this.#operators?.close();
    await parts.stop(this.#parts);
    await closeMetrics();
    logger.info({}, "Host stopped");
  }
}

/** Interval at which a draining host counts its requests in flight. */
const DRAIN_POLL_INTERVAL_MS = 50;

/** Removes the cells of initial rows, which contain token hashes. All other
 * secrets in settings are references. */
function redactSettings(settings: schema.Settings): unknown {
  const { table = [], ...rest } = settings;
  return { ...rest, table: table.map(({ row }) => row) };
}
