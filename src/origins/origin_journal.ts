/** Journal of the origins that a control host stores, so that streams can be
 * resumed after all hosts have ended at once. It never delays an answer: what is
 * stored is written a little later, and a disk that fails costs the journal
 * alone.
 *
 * There are two files. New lines go to one of them; the other is overwritten
 * once the lines of the first have lived long enough to make it obsolete.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as fleetMessages from "../schema/fleet_validators.ts";
import * as jsonLines from "../storage/json_lines.ts";
import type * as telemetry from "../telemetry/mod.ts";

/** Interval of writes. Each one syncs the disk, which the replicated log needs
 * too. */
const WRITE_INTERVAL_MS = 100;
/** Size of a file from which the other one is begun early. */
const MAX_FILE_BYTES = 4 * 1024 * 1024;
/** Origins that wait for a slow disk; further ones are not written. */
const MAX_PENDING_COUNT = 5000;
/** Time until a disk that failed is tried again. */
const REOPEN_MS = 5000;
const FILES = ["origins-0", "origins-1"];
const EMPTY = Buffer.alloc(0);

/** Dependencies of an `OriginJournal`. */
export interface OriginJournalOptions {
  readonly clock: runtime.Clock;
  readonly logger: telemetry.Logger;
  readonly openStorage: runtime.OpenStorage;
}

/** The file in use. */
interface CurrentFile {
  readonly number: number;
  readonly startedAt: number;
  bytes: number;
  /** Longest lifetime of its origins. */
  lifetime: number;
}

/** A journal in a folder of its own; changed in place. */
export class OriginJournal {
  readonly #options: OriginJournalOptions;
  #storage?: runtime.Storage;
  #file?: CurrentFile;
  #pending: schema.StreamOrigin[] = [];
  #isWriting = false;

  private constructor(options: OriginJournalOptions) {
    this.#options = options;
  }

  static create(options: OriginJournalOptions): OriginJournal {
    return new OriginJournal(options);
  }

  /** Opens the storage; resolves with the origins that it holds. Never
   * rejects. */
  async load(): Promise<schema.StreamOrigin[]> {
    try {
      const storage = await this.#options.openStorage();
      const contents = await Promise.all(
        FILES.map(async (name) => await storage.read(name) ?? EMPTY),
      );
      const all = Buffer.concat(contents).subarray(-MAX_FILE_BYTES);
      await storage.replace(FILES[0], all);
      await this.#startFile(storage, 1);
      this.#storage = storage;
      if (this.#pending.length > 0) this.#scheduleWrite();
      return decodeLines(all);
    } catch (error) {
      this.#close(error);
      return [];
    }
  }

  /** Writes origins soon. */
  append(origins: readonly schema.StreamOrigin[]): void {
    const room = MAX_PENDING_COUNT - this.#pending.length;
    this.#pending.push(...origins.slice(0, Math.max(0, room)));
    this.#scheduleWrite();
  }

  #scheduleWrite(): void {
    if (this.#isWriting || this.#storage === undefined) return;
    this.#isWriting = true;
    this.#options.clock.after(WRITE_INTERVAL_MS, () => void this.#write());
  }

  async #write(): Promise<void> {
    const origins = this.#pending;
    this.#pending = [];
    try {
      await this.#writeLine(origins);
    } catch (error) {
      this.#close(error);
    }
    this.#isWriting = false;
    if (this.#pending.length > 0) this.#scheduleWrite();
  }

  async #writeLine(origins: readonly schema.StreamOrigin[]): Promise<void> {
    const storage = this.#storage;
    const file = this.#file;
    if (storage === undefined || file === undefined) return;
    const line = jsonLines.encode({ type: "origins", origins });
    await storage.append(FILES[file.number], line);
    file.bytes += line.length;
    const lifetimes = origins.map(({ lifetime }) => lifetime);
    file.lifetime = Math.max(file.lifetime, ...lifetimes);
    const age = this.#options.clock.now() - file.startedAt;
    const isObsolete = age > file.lifetime || file.bytes > MAX_FILE_BYTES;
    if (isObsolete) await this.#startFile(storage, 1 - file.number);
  }

  async #startFile(storage: runtime.Storage, number: number): Promise<void> {
    await storage.replace(FILES[number], EMPTY);
    const startedAt = this.#options.clock.now();
    this.#file = { number, startedAt, bytes: 0, lifetime: 0 };
  }

  /** Gives the storage up after a failure, and opens it again later. */
  #close(error: unknown): void {
    const { clock, logger } = this.#options;
    this.#storage = undefined;
    this.#file = undefined;
    logger.warn(
      { reason: `${error}` },
      "Origins of streams are not written to disk for a while",
    );
    clock.after(REOPEN_MS, () => void this.load());
  }
}

/** Origins in the lines of a file that are understood. */
function decodeLines(bytes: Buffer): schema.StreamOrigin[] {
  return jsonLines.decode(bytes).values.flatMap((body) => {
    const message = { type: "ask", id: 0, body };
    if (!fleetMessages.validate(message)) return [];
    return (body as Partial<schema.OriginsQuestion>).origins ?? [];
  });
}
