/** Journal of departures on the disk of a control host: of endpoints that drain
 * or have left. A control host acknowledges a departure only once it is synced,
 * so that it holds after all control hosts have been killed at once.
 *
 * The file is replaced by what the roster still retains when it has grown, and
 * soon after departures in it have become obsolete. After a failure, nothing is
 * acknowledged until the storage has been opened again and holds the departures
 * of the roster.
 * @module */

import * as endpoints from "../endpoints/mod.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as fleetMessages from "../schema/fleet_validators.ts";
import * as jsonLines from "../storage/json_lines.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as errors from "./errors.ts";
import * as rosterCodec from "./roster_codec.ts";

const FILE = "departures";
/** Growth since the file was last replaced after which it is replaced again. */
const MAX_GROWTH_BYTES = 256 * 1024;
/** Maximum size of the departures that the roster retains; the replicated log
 * needs the disk too. */
const MAX_RETAINED_BYTES = 8 * 1024 * 1024;
/** Least interval between replacements that remove obsolete departures. */
const CLEAN_INTERVAL_MS = 5000;
/** Age by the time of day from which a departure is not restored: the roster
 * would have dropped it, even if the time of day was stepped by a minute. */
const MAX_RESTORED_AGE_MS = 120_000;
/** Time until a storage that failed is opened again. */
const REOPEN_MS = 1000;

/** Dependencies of a `DepartureJournal`. */
export interface DepartureJournalOptions {
  readonly clock: runtime.Clock;
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
  readonly roster: endpoints.Roster;
  /** Opens a storage that the journal has to itself. */
  readonly openStorage: runtime.OpenStorage;
}

/** The departures on the disk of one control host; mutable. */
export class DepartureJournal {
  readonly #options: DepartureJournalOptions;
  /** Undefined while the storage is not usable. */
  #storage?: runtime.Storage;
  /** The departure in the file of each endpoint, by its id. */
  readonly #stored = new Map<string, string>();
  /** Departures to write. */
  #pending = new Map<string, endpoints.RosterEntry>();
  /** The write that will contain the pending departures. */
  #nextWrite?: Promise<boolean>;
  /** Settles with the last write that was queued. */
  #lastWrite: Promise<unknown> = Promise.resolve();
  #growthBytes = 0;
  #replacedAt = -Infinity;
  #isReplacementDue = false;
  /** Whether the roster has the departures of former processes. */
  #isMerged = false;

  private constructor(options: DepartureJournalOptions) {
    this.#options = options;
  }

  static create(options: DepartureJournalOptions): DepartureJournal {
    return new DepartureJournal(options);
  }

  /** Opens the storage and merges its departures into the roster. Never
   * rejects. */
  async open(): Promise<void> {
    const { logger, openStorage } = this.#options;
    try {
      const storage = await openStorage();
      const bytes = await storage.read(FILE) ?? Buffer.alloc(0);
      if (!this.#isMerged) this.#merge(bytes);
      await this.#replaceFile(storage);
      this.#storage = storage;
      logger.info(
        { departures: this.#stored.size },
        "Departures of endpoints are stored",
      );
    } catch (error) {
      this.#close(error);
    }
  }

  /** Stores those of the entries that are departures. Resolves with whether the
   * disk holds all of them. */
  async store(entries: readonly endpoints.RosterEntry[]): Promise<boolean> {
    const missing = entries.filter((entry) =>
      isDeparture(entry) && !this.#isStored(entry)
    );
    if (missing.length === 0) return true;
    missing.forEach((entry) => this.#pending.set(entry.id, entry));
    const isStored = await this.#queueWrite();
    this.#options.metrics.count("departures.stored", missing.length, {
      stored: `${isStored}`,
    });
    return isStored;
  }

  /** Removes departures that the roster no longer retains. */
  tick(): void {
    const { clock, roster } = this.#options;
    if (this.#storage === undefined) return;
    if (clock.now() - this.#replacedAt < CLEAN_INTERVAL_MS) return;
    this.#isReplacementDue = [...this.#stored].some(([id, departure]) => {
      const entry = roster.get(id);
      return entry === undefined || departureOf(entry) !== departure;
    });
    if (this.#isReplacementDue) void this.#queueWrite();
  }

  #isStored(entry: endpoints.RosterEntry): boolean {
    return this.#stored.get(entry.id) === departureOf(entry);
  }

  #queueWrite(): Promise<boolean> {
    this.#nextWrite ??= this.#lastWrite.then(() => {
      this.#nextWrite = undefined;
      return this.#write();
    });
    this.#lastWrite = this.#nextWrite;
    return this.#nextWrite;
  }

  async #write(): Promise<boolean> {
    const storage = this.#storage;
    const departures = [...this.#pending.values()];
    this.#pending = new Map();
    if (storage === undefined) return false;
    try {
      if (this.#isReplacementDue || this.#growthBytes > MAX_GROWTH_BYTES) {
        await this.#replaceFile(storage);
      }
      const missing = departures.filter((entry) => !this.#isStored(entry));
      if (missing.length > 0) await this.#append(storage, missing);
      return true;
    } catch (error) {
      this.#close(error);
      return false;
    }
  }

  async #append(
    storage: runtime.Storage,
    departures: readonly endpoints.RosterEntry[],
  ): Promise<void> {
    const lines = this.#encode(departures);
    await storage.append(FILE, lines);
    this.#growthBytes += lines.length;
    departures.forEach((entry) => this.#markStored(entry));
  }

  /** Replaces the file by the departures that the roster retains. */
  async #replaceFile(storage: runtime.Storage): Promise<void> {
    const { clock, roster } = this.#options;
    const retained = [...roster.entries].filter(isDeparture);
    const lines = this.#encode(retained);
    if (lines.length > MAX_RETAINED_BYTES) {
      throw new errors.FleetError(
        `departures of ${lines.length} bytes exceed the limit`,
      );
    }
    await storage.replace(FILE, lines);
    this.#growthBytes = 0;
    this.#isReplacementDue = false;
    this.#replacedAt = clock.now();
    this.#stored.clear();
    retained.forEach((entry) => this.#markStored(entry));
  }

  #markStored(entry: endpoints.RosterEntry): void {
    this.#stored.set(entry.id, departureOf(entry));
  }

  #encode(departures: readonly endpoints.RosterEntry[]): Buffer {
    const { clock } = this.#options;
    const now = clock.now();
    return Buffer.concat(departures.map((entry) => {
      const line: StoredDeparture = {
        type: "note",
        sightings: [rosterCodec.encode(entry, now)],
        at: Math.round(clock.wall() - (now - entry.heardAt)),
      };
      return jsonLines.encode(line);
    }));
  }

  /** Merges departures of the file into the roster, except very old ones, whose
   * endpoints may have started again. The others are retained as if they were
   * new: the time of day may have been stepped while this host was down, and a
   * departure must outlast delayed heartbeats. */
  #merge(bytes: Uint8Array): void {
    const { clock, logger, roster } = this.#options;
    const now = clock.now();
    const wall = clock.wall();
    const { stored, skippedCount } = decode(bytes);
    const departures = stored
      .filter(({ at }) => wall - at <= MAX_RESTORED_AGE_MS)
      .flatMap(({ sightings }) => sightings);
    for (const departure of departures) {
      const sighting = { ...departure, age: 0 };
      roster.merge(rosterCodec.decode(sighting, { now, judges: true }));
    }
    this.#isMerged = true;
    logger.info(
      { departures: departures.length, skipped: skippedCount },
      "Departures of endpoints read from disk",
    );
  }

  /** Gives the storage up after a failure, and opens it again later. */
  #close(error: unknown): void {
    const { clock, logger } = this.#options;
    this.#storage = undefined;
    this.#stored.clear();
    logger.warn(
      { reason: `${error}` },
      "Departures cannot be stored; not acknowledged until they can",
    );
    clock.after(REOPEN_MS, () => void this.open());
  }
}

/** Whether an endpoint drains or has left. */
function isDeparture({ state }: endpoints.RosterEntry): boolean {
  return state !== "ready";
}

/** Text that differs between the departures of one id. */
function departureOf(entry: endpoints.RosterEntry): string {
  return `${endpoints.incarnations.keyOf(entry)} ${entry.state}`;
}

/** A line of the file. */
interface StoredDeparture extends schema.NoteQuestion {
  /** Time of the endpoint's last report, in Unix milliseconds. */
  readonly at: number;
}

/** Decodes the departures in a file, in the order in which they were stored,
 * and counts the lines that are damaged or of another release. */
function decode(
  bytes: Uint8Array,
): { stored: StoredDeparture[]; skippedCount: number } {
  const { values, skippedCount } = jsonLines.decode(bytes);
  const stored = values.filter(isStoredDeparture);
  return {
    stored,
    skippedCount: skippedCount + values.length - stored.length,
  };
}

function isStoredDeparture(body: unknown): body is StoredDeparture {
  return fleetMessages.validate({ type: "ask", id: 0, body }) &&
    (body as schema.Question).type === "note" &&
    typeof (body as StoredDeparture).at === "number";
}
