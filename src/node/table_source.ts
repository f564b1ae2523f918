/** Source of a host's table: the replicated log, or one copy in memory when the
 * fleet has no voters.
 * @module */

import * as control from "../control/mod.ts";
import type * as orders from "../control/orders/mod.ts";
import * as operators from "../operators/mod.ts";
import type * as request from "../request/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/settings_types.ts";
import * as settings from "../settings/mod.ts";
import * as storage from "../storage/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";

/** Options and dependencies of a table source. */
export interface Options {
  settings: schema.Settings;
  incarnation: number;
  clock: runtime.Clock;
  random: runtime.Random;
  transport: control.Transport;
  metrics: telemetry.Metrics;
  logger: telemetry.Logger;
  /** Storage of a voter; files in its data folder when absent. */
  storage?: runtime.Storage;
  /** Called when a voter's journal has failed. */
  onFailure(failure: Error): void;
}

/** The table, its claims and its lease. */
export interface TableSource {
  readonly access: operators.TableAccess;
  /** Claims of idempotency keys; absent when there is no replicated log to store
   * them. */
  readonly claims?: request.Claims;
  /** Whether the table has been loaded; always true when the settings have no
   * initial rows. */
  readonly isLoaded: boolean;
  start(): Promise<void>;
  /** Resolves once the table is at least as recent as any in force when this
   * host started, or when no quorum confirms this in time. */
  catchUp(): Promise<boolean>;
  /** Handles an envelope of the channels log, watch or control. */
  receive(envelope: runtime.Envelope): void;
  /** Id of the host that accepts edits, if known. */
  readonly leader: string | undefined;
  /** The lease that permits ordering engines and allocating limits, checked
   * against the current time; undefined when this host does not hold it. */
  lease(): orders.Lease | undefined;
  /** Transfers leadership to another host before a stop. */
  drain(): void;
  /** Waits a bounded time for pending settlements of claims, then stops. */
  stop(): Promise<void>;
  /** Summary of the control state for the host's status. */
  status(): unknown;
  dump(): unknown;
}

/** Creates the source that the settings require. */
export async function create(options: Options): Promise<TableSource> {
  const { settings: { host, folder, fleet } } = options;
  const voters = fleet.hosts.filter(({ voter }) => voter).map(({ id }) => id);
  if (voters.length === 0) return createLocal(options);
  const files = voters.includes(host) && folder !== undefined
    ? options.storage ?? await storage.FileStorage.open(folder)
    : undefined;
  return createReplicated(options, { voters, files });
}

function createLocal({ settings: { table }, clock }: Options): TableSource {
  const initial = settings.initialEdits(table);
  const access = operators.LocalTable.create(clock, initial);
  return {
    access,
    isLoaded: true,
    start: () => Promise.resolve(),
    catchUp: () => Promise.resolve(true),
    receive() {},
    leader: undefined,
    lease: () => undefined,
    drain() {},
    stop: () => Promise.resolve(),
    status: () => ({ type: "local" }),
    dump: () => ({ revision: access.view().revision }),
  };
}

/** Storage that may need to be closed. */
type CloseableStorage = runtime.Storage & { close?(): Promise<void> };

interface VoterOptions {
  voters: readonly string[];
  files: CloseableStorage | undefined;
}

function createReplicated(
  options: Options,
  { voters, files }: VoterOptions,
): TableSource {
  const { settings: { host, table, fleet } } = options;
  const observers = fleet.hosts.filter(({ observer }) => observer);
  const access = control.Control.create({
    ...options,
    self: host,
    voters,
    observers: observers.map(({ id }) => id),
    storage: files,
    initialEdits: settings.initialEdits(table),
  });
  const isEmpty = table === undefined || table.length === 0;
  return {
    access,
    claims: access.claims,
    get isLoaded() {
      return isEmpty || access.view().revision > 0;
    },
    start: () => access.start(),
    catchUp: () => access.catchUp(),
    receive: (envelope) => access.receive(envelope),
    get leader() {
      return access.status.leader;
    },
    lease: () => access.lease(),
    drain: () => access.transferLeadership(),
    async stop() {
      await access.flushClaims();
      access.stop();
      await files?.close?.();
    },
    status: () => ({
      ...access.status,
      voter: files !== undefined,
      leading: access.leaseHeld(),
      term: access.term,
    }),
    dump: () => access.dump(),
  };
}
