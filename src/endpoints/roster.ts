/** Endpoints as their heartbeats tell of them, merged from several hosts.
 *
 * An endpoint may start again under its id: of two incarnations the later one
 * replaces the earlier whole, and nothing said of the earlier one counts any
 * more. Of two reports about one incarnation the higher sequence is the later;
 * `gone` is final. So hosts that have heard the same words hold the same,
 * whatever the order. An endpoint that is silent is only marked: a cut between
 * it and this host says nothing about its calls.
 * @module */

import * as incarnations from "./incarnation.ts";

/** What an endpoint says of itself; `gone` once it has left. */
export type EndpointState = "ready" | "draining" | "gone";

/** One report about an endpoint. */
export interface EndpointStatus extends incarnations.Incarnation {
  readonly service: string;
  /** IP number and port. */
  readonly address: string;
  readonly dataCentre: string;
  /** Version of its software. */
  readonly version: string;
  readonly slots: number;
  readonly state: EndpointState;
  /** Grows with each report of the endpoint; -1 where it is not known. */
  readonly sequence: number;
}

/** An endpoint as a roster holds it. */
export interface RosterEntry extends EndpointStatus {
  /** When it was last heard, by the clock of this host. */
  readonly heardAt: number;
  /** Until when it is cold: slow, and able to bear few requests. */
  readonly coldUntil: number;
  /** Revision of the roster at which others should hear of it again. */
  readonly revision: number;
  readonly isSilent: boolean;
  /** When this host first heard of this incarnation. */
  readonly firstHeardAt: number;
}

/** Times in milliseconds. */
export interface RosterOptions {
  /** Without a heartbeat for so long, an endpoint counts as silent. */
  readonly silenceTimeoutMs: number;
  /** A silent endpoint is forgotten after so long, one that is gone too. */
  readonly retentionMs: number;
}

/** A report that has come to this host. */
export interface StatusReport {
  readonly status: EndpointStatus;
  /** When the endpoint was heard, by the clock of this host. */
  readonly heardAt: number;
  readonly coldUntil?: number;
  /** Whether a host that hears all heartbeats holds it for silent; absent when
   * the report is a heartbeat itself. */
  readonly isSilent?: boolean;
}

/** Endpoints by id; changed in place. */
export class Roster {
  readonly #times: RosterOptions;
  readonly #entries = new Map<string, RosterEntry>();
  #revision = 0;

  private constructor(times: RosterOptions) {
    this.#times = times;
  }

  /** An empty roster. */
  static create(times: RosterOptions): Roster {
    return new Roster(times);
  }

  /** Grows with each change that others should hear of. */
  get revision(): number {
    return this.#revision;
  }

  /** All that is known, also what is gone. */
  get entries(): Iterable<RosterEntry> {
    return this.#entries.values();
  }

  get(id: string): RosterEntry | undefined {
    return this.#entries.get(id);
  }

  /** The entry of an incarnation, by its key; undefined where another one of
   * its id is known. */
  find(key: string): RosterEntry | undefined {
    const known = this.get(key) ?? this.get(incarnations.idOf(key));
    const isSame = known !== undefined && incarnations.keyOf(known) === key;
    return isSame ? known : undefined;
  }

  /** Takes a report; returns whether others should hear of it at once. */
  merge(
    { status: sighting, heardAt: heard, coldUntil = 0, isSilent }: StatusReport,
  ): boolean {
    const known = this.#entries.get(sighting.id);
    const order = known === undefined ? 1 : orderOf(sighting, known, heard);
    if (known === undefined || order > 0) {
      const told = { coldUntil, isSilent: isSilent ?? false };
      this.#put({ ...sighting, ...told, heardAt: heard, firstHeardAt: heard });
      return true;
    }
    if (order < 0 || known.state === "gone") return false;
    const isOlder = isOlderWord(sighting, known);
    if (isOlder && sighting.state !== "gone") return false;
    const next: RosterEntry = {
      ...known,
      ...(isOlder ? {} : { ...sighting, born: known.born }),
      state: sighting.state,
      heardAt: Math.max(heard, known.heardAt),
      coldUntil: isOlder ? known.coldUntil : coldUntil,
      isSilent: isSilent ?? (known.isSilent && heard <= known.heardAt),
    };
    const isNews = isDifferent(known, next);
    if (isNews) this.#put(next);
    else this.#entries.set(next.id, next);
    return isNews;
  }

  /** Notes that an endpoint has left, also one that was never heard. Without a
   * `born` it is the incarnation that is known. */
  recordLeave(left: incarnations.Incarnation, now: number): boolean {
    return this.merge({ status: departureOf(left), heardAt: now });
  }

  /** Marks what is silent and forgets what has been so for long. */
  expire(now: number): void {
    const { silenceTimeoutMs: silence, retentionMs: memory } = this.#times;
    for (const entry of [...this.#entries.values()]) {
      const age = now - entry.heardAt;
      const isOver = entry.isSilent || entry.state === "gone";
      if (isOver && age > memory) this.#entries.delete(entry.id);
      else if (!isOver && age > silence) {
        this.#put({ ...entry, isSilent: true });
      }
    }
  }

  /** What has changed after a revision. */
  changedSince(revision: number): RosterEntry[] {
    return [...this.#entries.values()].filter((entry) =>
      entry.revision > revision
    );
  }

  #put(entry: Omit<RosterEntry, "revision">): void {
    this.#entries.set(entry.id, { ...entry, revision: ++this.#revision });
  }
}

/** Whether a word is of a later incarnation than the known one (above 0), of an
 * earlier one (below 0), or of the same. */
function orderOf(
  word: EndpointStatus,
  known: RosterEntry,
  heard: number,
): number {
  const order = incarnations.compare(word, known);
  const isVague = word.state === "gone" && word.born === undefined;
  if (order >= 0 || !isVague) return order;
  // A leave may come without its incarnation: it is of the one known then, and
  // of none that was heard of since.
  return heard >= known.firstHeardAt ? 0 : order;
}

/** Whether a word of the same incarnation is the older one. Of different words
 * with one sequence, which another writer may send, all hosts take the same. */
function isOlderWord(word: EndpointStatus, known: RosterEntry): boolean {
  if (word.sequence !== known.sequence) return word.sequence < known.sequence;
  return textOf(word) < textOf(known);
}

/** Text that orders words of one sequence: a drain goes before readiness. */
function textOf(word: EndpointStatus): string {
  const { state, service, address, dataCentre, version, slots } = word;
  const first = state === "ready" ? 0 : 1;
  return JSON.stringify([first, service, address, dataCentre, version, slots]);
}

function departureOf({ id, born }: incarnations.Incarnation): EndpointStatus {
  return {
    id,
    born,
    service: "unknown",
    address: "unknown",
    dataCentre: "unknown",
    version: "",
    slots: 0,
    state: "gone",
    sequence: -1,
  };
}

const COMPARED = [
  "born",
  "service",
  "address",
  "slots",
  "state",
  "isSilent",
] as const;

function isDifferent(one: RosterEntry, other: RosterEntry): boolean {
  return COMPARED.some((key) => one[key] !== other[key]) ||
    isColdAnew(one, other);
}

/** Whether an endpoint is cold for longer than was known. */
function isColdAnew(one: RosterEntry, other: RosterEntry): boolean {
  const known = Math.max(one.coldUntil, other.heardAt);
  return other.coldUntil > known + COLD_TOLERANCE;
}

/** Milliseconds by which the end of a cold time may differ from word to word:
 * ages grow by the way of each message. */
const COLD_TOLERANCE = 250;
