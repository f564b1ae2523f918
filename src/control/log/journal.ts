/** What a replica keeps on its disk: one snapshot, and one segment of records
 * that follow on it.
 *
 * A segment starts with all that is needed beside its snapshot, the identity
 * of the folder included, so that a folder that has lost its segment has lost
 * its identity too. Each write is one line; only the last can be torn.
 * @module */

import type * as runtime from "../../runtime/mod.ts";
import type * as schema from "../../schema/log_types.ts";
import * as errors from "./errors.ts";
import * as record from "./record.ts";
import * as replicaId from "./replica_id.ts";
import type * as state from "./state.ts";

/** First record of a segment. */
interface Start {
  readonly type: "start";
  readonly id: schema.ReplicaId;
  /** Index of the snapshot that the segment follows on; 0 without one. */
  readonly snapshot: number;
  readonly term: number;
  readonly vote?: string;
  readonly entries: readonly schema.Entry[];
}

type Small = Exclude<state.LogRecord, { type: "snapshot" }>;

/** What a journal is opened with. */
export interface JournalOptions {
  readonly host: string;
  /** Incarnation for a folder that has none: random, in hex digits. */
  readonly incarnation: string;
}

const SEGMENT = "segment-";
const SNAPSHOT = "snapshot-";
const DIGITS = 16;

/** The open journal of a replica; one write at a time. */
export class Journal {
  readonly id: schema.ReplicaId;
  /** What stood on the disk at the start. */
  readonly durable: state.Durable;
  readonly #storage: runtime.Storage;
  #segment: number;
  #lines: number;

  private constructor(storage: runtime.Storage, found: Found) {
    this.#storage = storage;
    this.id = found.id;
    this.durable = found.durable;
    this.#segment = found.segment;
    this.#lines = found.lines;
  }

  /** Opens the journal in a data folder; an empty folder gets an identity. */
  static async open(
    storage: runtime.Storage,
    options: JournalOptions,
  ): Promise<Journal> {
    const names = await storage.list();
    const segments = numbers(names, SEGMENT);
    const segment = segments.at(-1);
    if (segment === undefined) {
      if (numbers(names, SNAPSHOT).length > 0) {
        throw new errors.LogError("damaged", "a snapshot stands alone");
      }
      return Journal.#create(storage, options);
    }
    const found = await load(storage, segment);
    if (replicaId.host(found.id) !== options.host) {
      const message = `the data folder is that of ${found.id}`;
      throw new errors.LogError("damaged", message);
    }
    const journal = new Journal(storage, found);
    await journal.#removeOld(found.durable.snapshot?.position.index ?? 0);
    return journal;
  }

  static async #create(
    storage: runtime.Storage,
    { host, incarnation }: JournalOptions,
  ): Promise<Journal> {
    const id = replicaId.create(host, incarnation);
    const durable = { term: 0, entries: [] };
    const found = { id, durable, segment: 0, lines: 0 };
    const journal = new Journal(storage, found);
    await journal.#begin({ snapshot: 0, term: 0, entries: [] });
    return journal;
  }

  /** Writes records; resolves once they are synced. */
  async write(records: readonly state.LogRecord[]): Promise<void> {
    let small: Small[] = [];
    for (const one of records) {
      if (one.type !== "snapshot") {
        small.push(one);
        continue;
      }
      await this.#append(small);
      small = [];
      await this.#compact(one);
    }
    await this.#append(small);
  }

  async #append(records: readonly Small[]): Promise<void> {
    if (records.length === 0) return;
    const line = record.encode(this.#lines++, records);
    await this.#storage.append(segmentName(this.#segment), line);
  }

  async #compact(
    { snapshot, entries, term, vote }: Extract<
      state.LogRecord,
      { type: "snapshot" }
    >,
  ): Promise<void> {
    const { index } = snapshot.position;
    const bytes = record.encode(0, snapshot);
    await this.#storage.replace(snapshotName(index), bytes);
    await this.#begin({ snapshot: index, term, vote, entries });
    await this.#removeOld(index);
  }

  async #begin(start: Omit<Start, "type" | "id">): Promise<void> {
    const first: Start = { type: "start", id: this.id, ...start };
    const name = segmentName(++this.#segment);
    await this.#storage.replace(name, record.encode(0, first));
    this.#lines = 1;
  }

  async #removeOld(snapshot: number): Promise<void> {
    const names = await this.#storage.list();
    const segments = numbers(names, SEGMENT)
      .filter((number) => number !== this.#segment);
    const snapshots = numbers(names, SNAPSHOT)
      .filter((number) => number !== snapshot);
    for (const old of segments) await this.#storage.remove(segmentName(old));
    for (const old of snapshots) await this.#storage.remove(snapshotName(old));
  }
}

interface Found {
  readonly id: schema.ReplicaId;
  readonly durable: state.Durable;
  readonly segment: number;
  readonly lines: number;
}

async function load(
  storage: runtime.Storage,
  segment: number,
): Promise<Found> {
  const file = segmentName(segment);
  const bytes = (await storage.read(file))!;
  const { lines, length } = record.decode(file, bytes);
  const start = lines[0]?.value as Start | undefined;
  if (start?.type !== "start") throw record.damaged(file, 0);
  const snapshot = await loadSnapshot(storage, start.snapshot);
  if (length < bytes.length) await storage.truncate(file, length);
  const durable = replay(file, start, { lines: lines.slice(1), snapshot });
  return { id: start.id, durable, segment, lines: lines.length };
}

async function loadSnapshot(
  storage: runtime.Storage,
  index: number,
): Promise<state.Snapshot | undefined> {
  if (index === 0) return undefined;
  const file = snapshotName(index);
  const bytes = await storage.read(file);
  if (bytes === undefined) throw record.damaged(file, 0);
  const { lines, length } = record.decode(file, bytes);
  if (lines.length !== 1 || length < bytes.length) {
    throw record.damaged(file, length);
  }
  return lines[0].value as state.Snapshot;
}

interface Rest {
  readonly lines: readonly record.Line[];
  readonly snapshot?: state.Snapshot;
}

function replay(
  file: string,
  start: Start,
  { lines, snapshot }: Rest,
): state.Durable {
  let { term, vote } = start;
  const entries = [...start.entries];
  for (const { offset, value } of lines) {
    for (const one of value as Small[]) {
      if (one.type === "vote") ({ term, vote } = one);
      else replace(entries, one.entries, { file, offset, start });
    }
  }
  return { term, vote, snapshot, entries };
}

function replace(
  entries: schema.Entry[],
  added: readonly schema.Entry[],
  { file, offset, start }: { file: string; offset: number; start: Start },
): void {
  const count = added[0].index - start.snapshot - 1;
  if (count < 0 || count > entries.length) throw record.damaged(file, offset);
  entries.length = count;
  entries.push(...added);
}

function numbers(names: readonly string[], prefix: string): number[] {
  return names
    .filter((name) => name.startsWith(prefix))
    .map((name) => parseInt(name.slice(prefix.length), 10))
    .sort((a, b) => a - b);
}

function segmentName(number: number): string {
  return `${SEGMENT}${String(number).padStart(DIGITS, "0")}`;
}

function snapshotName(index: number): string {
  return `${SNAPSHOT}${String(index).padStart(DIGITS, "0")}`;
}
