/** A host of the system, assembled from its settings:
 *
 *     const host = await node.Node.start({ settings });
 *     await host.ready;
 *     ... // callers at host.callersPort, operators at host.operatorsPort
 *     await host.stop();
 *
 * @module */

import * as operators from "../operators/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/settings_types.ts";
import * as foundation from "./host_context.ts";
import type * as options from "./options.ts";
import * as parts from "./parts.ts";
import * as readiness from "./readiness.ts";
import * as serving from "./serving.ts";
import * as version from "./version.ts";

/** Milliseconds in which peers hear that this host is gone. */
const FAREWELL = 200;

/** One host in this process. */
export class Node implements operators.Host {
  /** Resolves once callers are served: the table is that of the fleet. */
  readonly ready: Promise<void>;
  readonly #foundation: foundation.HostContext;
  readonly #parts: parts.Parts;
  readonly #started: number;
  #operators: operators.Server | undefined;
  #state: operators.HostState = "ready";
  #stopping: Promise<void> | undefined;
  #stopWaiting = () => {};

  private constructor(base: foundation.HostContext, made: parts.Parts) {
    this.#foundation = base;
    this.#parts = made;
    this.#started = base.clock.now();
    this.ready = this.#serveCallers();
    // A stop before readiness is no failure of whoever waits for neither.
    this.ready.catch((err) => base.logger.debug({ err }, "Host never ready"));
  }

  /** Reads secrets and the disk, listens for peers and operators, and begins
   * to follow the fleet. Callers are served once `ready` resolves. */
  static async start(options: options.Options): Promise<Node> {
    const base = await foundation.create(options);
    const made = await parts.start(base, options);
    const host = new Node(base, made);
    try {
      host.#operators = await operators.Server.start({
        listener: options.settings.listen.operators,
        operators: operators.Operators.create(base.secrets.operators),
        host,
        ...base,
      });
    } catch (error) {
      await host.stop();
      throw error;
    }
    base.logger.info({ version: version.VERSION }, "Host started");
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
    return this.#foundation.settings.pipelines;
  }

  endpoints(): readonly operators.EndpointView[] {
    const { settings } = this.#foundation;
    return serving.views(settings, this.#parts.directory.serving);
  }

  status(): operators.Status {
    const { settings, clock } = this.#foundation;
    const { source, members, path } = this.#parts;
    const self = settings.fleet.hosts.find(({ id }) => id === settings.host)!;
    return {
      host: settings.host,
      dataCentre: self.dataCentre,
      region: self.region,
      version: version.VERSION,
      state: this.#state,
      uptime: Math.round(clock.now() - this.#started),
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
    const { tally, settings } = this.#foundation;
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

  /** Refuses new requests, finishes the others, and stays. */
  drain(): void {
    if (this.#state !== "ready") return;
    this.#state = "draining";
    const { path, members } = this.#parts;
    path.drain();
    members.drain("asked to drain");
    this.#watchDrain();
  }

  /** Drains, waits for requests in flight no longer than the longest deadline,
   * leaves the fleet and closes everything. */
  stop(): Promise<void> {
    this.#stopping ??= this.#stop();
    return this.#stopping;
  }

  async #serveCallers(): Promise<void> {
    const { source, directory, path } = this.#parts;
    const { clock, settings, logger } = this.#foundation;
    await readiness.wait({
      clock,
      source,
      directory,
      alone: settings.fleet.hosts.length === 1,
      onCancel: (cancel) => this.#stopWaiting = cancel,
    });
    await path.start();
    logger.info({ port: path.port }, "Callers are served");
  }

  /** Notes when the last request in flight has ended. */
  #watchDrain(): void {
    const { clock, logger } = this.#foundation;
    if (this.#stopping !== undefined) return;
    if (this.#parts.path.inFlight > 0) {
      clock.after(DRAIN_LOOK, () => this.#watchDrain());
      return;
    }
    this.#state = "drained";
    logger.info({}, "Host drained");
  }

  async #stop(): Promise<void> {
    const { clock, logger, closeMetrics } = this.#foundation;
    const { path, members, source } = this.#parts;
    this.drain();
    this.#stopWaiting();
    await Promise.allSettled([this.ready]);
    source.drain();
    await path.stop();
    members.leave();
    await after(clock, FAREWELL);
    await this.#operators?.close();
    await parts.stop(this.#parts);
    await closeMetrics();
    logger.info({}, "Host stopped");
  }
}

/** Milliseconds between looks at the requests that a drain waits for. */
const DRAIN_LOOK = 50;

function after(clock: runtime.Clock, ms: number): Promise<void> {
  return new Promise((resolve) => void clock.after(ms, resolve));
}

/** Settings hold secrets by reference only; hashes of tokens are left out. */
function redactSettings(settings: schema.Settings): unknown {
  const { table = [], ...rest } = settings;
  return { ...rest, table: table.map(({ row }) => row) };
}
