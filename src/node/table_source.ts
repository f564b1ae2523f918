/** Where a host's table comes from: the replicated log, or one copy in memory
 * where no host of the fleet votes.
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

/** What a source needs of its host. */
export interface Options {
  settings: schema.Settings;
  incarnation: number;
  clock: runtime.Clock;
  random: runtime.Random;
  transport: control.Transport;
  metrics: telemetry.Metrics;
  logger: telemetry.Logger;
  /** The data folder of a voter, in place of files. */
  storage?: runtime.Storage;
  /** The journal of a voter failed. */
  onFailure(failure: Error): void;
}

/** The table with all that belongs to it. */
export interface TableSource {
  readonly access: operators.TableAccess;
  /** Claims of idempotency keys; absent where nothing would keep them. */
  readonly claims?: request.Claims;
  /** Whether there is a table, unless the settings begin without rows. */
  readonly isLoaded: boolean;
  start(): Promise<void>;
  /** Resolves once the table is no older than any that was in force when this
   * host started, or when no quorum says so in time. */
  catchUp(): Promise<boolean>;
  /** Takes an envelope of the channels log, watch and control. */
  receive(envelope: runtime.Envelope): void;
  /** Host that takes edits, as far as known here. */
  readonly leader: string | undefined;
  /** The right to order engines and to share out limits, by a fresh look at
   * the clock; undefined where it is not held. */
  lease(): orders.Lease | undefined;
  /** Hands leadership over, before a stop. */
  drain(): void;
  /** Finishes the settlements of claims, within a bound, and stops. */
  stop(): Promise<void>;
  /** How control is, in a few values. */
  status(): unknown;
  dump(): unknown;
}

/** The source that the settings ask for. */
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

/** Storage that may have something to close. */
type Disk = runtime.Storage & { close?(): Promise<void> };

interface Quorum {
  voters: readonly string[];
  files: Disk | undefined;
}

function createReplicated(
  options: Options,
  { voters, files }: Quorum,
): TableSource {
  const { settings: { host, table, fleet } } = options;
  const observers = fleet.hosts.filter(({ observer }) => observer);
  const access = control.Control.create({
    ...options,
    self: host,
    voters,
    observers: observers.map(({ id }) => id),
    storage: files,
    first: settings.initialEdits(table),
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
    drain: () => access.drain(),
    async stop() {
      await access.finish();
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
