/** Persistent state of a replica: one snapshot, and one segment of records after
 * it.
 *
 * The header of a segment contains everything needed besides its snapshot,
 * including the replica's id, so that a data folder that has lost its segment
 * has lost its id too. Each write is one line; only the last can be torn.
 * @module */

import type * as runtime from "../../runtime/mod.ts";
import type * as schema from "../../schema/log_types.ts";
import * as errors from "./errors.ts";
import * as record from "./record.ts";
import * as replicaId from "./replica_id.ts";
import type * as state from "./state.ts";

/** First line of a segment. */
interface SegmentHeader {
  readonly type: "start";
  readonly id: schema.ReplicaId;
  /** Index of the snapshot that the segment follows; 0 without one. */
  readonly snapshot: number;
  readonly term: number;
  readonly vote?: string;
  readonly entries: readonly schema.Entry[];
}

type SegmentRecord = Exclude<state.LogRecord, { type: "snapshot" }>;

/** Options of a journal. */
export interface JournalOptions {
  readonly host: string;
  /** Incarnation given to an empty data folder: random, in hex digits. */
  readonly incarnation: string;
}

const SEGMENT_PREFIX = "segment-";
const SNAPSHOT_PREFIX = "snapshot-";
const NAME_DIGITS = 16;

/** Open journal of a replica. Only one write may run at a time. */
export class Journal {
  readonly id: schema.ReplicaId;
  /** State recovered when the journal was opened. */
  readonly durable: state.Durable;
  readonly #storage: runtime.Storage;
  #segment: number;
  #lines: number;

  private constructor(storage: runtime.Storage, loaded: LoadedJournal) {
    this.#storage = storage;
    this.id = loaded.id;
    this.durable = loaded.durable;
    this.#segment = loaded.segment;
    this.#lines = loaded.lines;
  }

  /** Opens the journal in a data folder. An empty folder gets a new replica
   * id. */
  static async open(
    storage: runtime.Storage,
    options: JournalOptions,
  ): Promise<Journal> {
    const names = await storage.list();
    const segments = fileNumbers(names, SEGMENT_PREFIX);
    const segment = segments.at(-1);
    if (segment === undefined) {
      if (fileNumbers(names, SNAPSHOT_PREFIX).length > 0) {
        throw new errors.LogError(
          "damaged",
          "the data folder has a snapshot but no segment",
        );
      }
      return Journal.#create(storage, options);
    }
    const loaded = await load(storage, segment);
    if (replicaId.host(loaded.id) !== options.host) {
      const message =
        `the data folder belongs to replica ${loaded.id}, not to this host`;
      throw new errors.LogError("damaged", message);
    }
    const journal = new Journal(storage, loaded);
    await journal.#removeObsolete(loaded.durable.snapshot?.position.index ?? 0);
    return journal;
  }

  static async #create(
    storage: runtime.Storage,
    { host, incarnation }: JournalOptions,
  ): Promise<Journal> {
    const id = replicaId.create(host, incarnation);
    const durable = { term: 0, entries: [] };
    const loaded = { id, durable, segment: 0, lines: 0 };
    const journal = new Journal(storage, loaded);
    await journal.#startSegment({ snapshot: 0, term: 0, entries: [] });
    return journal;
  }

  /** Writes records and resolves once they are synced. */
  async write(records: readonly state.LogRecord[]): Promise<void> {
    let pending: SegmentRecord[] = [];
    for (const entry of records) {
      if (entry.type !== "snapshot") {
        pending.push(entry);
        continue;
      }
      await this.#append(pending);
      pending = [];
      await this.#compact(entry);
    }
    await this.#append(pending);
  }

  async #append(records: readonly SegmentRecord[]): Promise<void> {
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
    await this.#startSegment({ snapshot: index, term, vote, entries });
    await this.#removeObsolete(index);
  }

  async #startSegment(
    header: Omit<SegmentHeader, "type" | "id">,
  ): Promise<void> {
    const fields: SegmentHeader = { type: "start", id: this.id, ...header };
    const name = segmentName(++this.#segment);
    await this.#storage.replace(name, record.encode(0, fields));
    this.#lines = 1;
  }

  async #removeObsolete(snapshot: number): Promise<void> {
    const names = await this.#storage.list();
    const segments = fileNumbers(names, SEGMENT_PREFIX)
      .filter((number) => number !== this.#segment);
    const snapshots = fileNumbers(names, SNAPSHOT_PREFIX)
      .filter((number) => number !== snapshot);
    for (const old of segments) await this.#storage.remove(segmentName(old));
    for (const old of snapshots) await this.#storage.remove(snapshotName(old));
  }
}

interface LoadedJournal {
  readonly id: schema.ReplicaId;
  readonly durable: state.Durable;
  readonly segment: number;
  readonly lines: number;
}

async function load(
  storage: runtime.Storage,
  segment: number,
): Promise<LoadedJournal> {
  const file = segmentName(segment);
  const bytes = (await storage.read(file))!;
  const { lines, length } = record.decode(file, bytes);
  const header = lines[0]?.value as SegmentHeader | undefined;
  if (header?.type !== "start") throw record.damaged(file, 0);
  const snapshot = await loadSnapshot(storage, header.snapshot);
  // What a killed process wrote is durable before the replica acts on it.
  if (length < bytes.length) await storage.truncate(file, length);
  else await storage.syncFile(file);
  const durable = replay(file, header, { lines: lines.slice(1), snapshot });
  return { id: header.id, durable, segment, lines: lines.length };
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

interface SegmentContent {
  readonly lines: readonly record.Line[];
  readonly snapshot?: state.Snapshot;
}

function replay(
  file: string,
  header: SegmentHeader,
  { lines, snapshot }: SegmentContent,
): state.Durable {
  let { term, vote } = header;
  const entries = [...header.entries];
  for (const { offset, value } of lines) {
    for (const entry of value as SegmentRecord[]) {
      if (entry.type === "vote") ({ term, vote } = entry);
      else replace(entries, entry.entries, { file, offset, header });
    }
  }
  return { term, vote, snapshot, entries };
}

function replace(
  entries: schema.Entry[],
  added: readonly schema.Entry[],
  { file, offset, header }: {
    file: string;
    offset: number;
    header: SegmentHeader;
  },
): void {
  const count = added[0].index - header.snapshot - 1;
  if (count < 0 || count > entries.length) throw record.damaged(file, offset);
  entries.length = count;
  entries.push(...added);
}

function fileNumbers(names: readonly string[], prefix: string): number[] {
  return names
    .filter((name) => name.startsWith(prefix))
    .map((name) => parseInt(name.slice(prefix.length), 10))
    .sort((a, b) => a - b);
}

function segmentName(number: number): string {
  return `${SEGMENT_PREFIX}${String(number).padStart(NAME_DIGITS, "0")}`;
}

function snapshotName(index: number): string {
  return `${SNAPSHOT_PREFIX}${String(index).padStart(NAME_DIGITS, "0")}`;
}
