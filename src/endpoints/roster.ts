/** Endpoints as their heartbeats tell of them, merged from several hosts.
 *
 * An endpoint that starts anew has a new id. Of two reports about one id the
 * higher sequence is the later; `gone` is final. An endpoint that is silent is
 * only marked: a cut between it and this host says nothing about its calls.
 * @module */

/** What an endpoint says of itself; `gone` once it has left. */
export type SightingState = "ready" | "draining" | "gone";

/** One report about an endpoint. */
export interface Sighting {
  readonly id: string;
  readonly service: string;
  /** IP number and port. */
  readonly address: string;
  readonly dataCentre: string;
  /** Version of its software. */
  readonly version: string;
  readonly slots: number;
  readonly state: SightingState;
  /** Grows with each report of the endpoint; -1 where it is not known. */
  readonly sequence: number;
}

/** An endpoint as a roster holds it. */
export interface RosterEntry extends Sighting {
  /** When it was last heard, by the clock of this host. */
  readonly heard: number;
  /** Until when it is slow after its start. */
  readonly coldUntil: number;
  /** Revision of the roster at which others should hear of it again. */
  readonly revision: number;
  readonly isSilent: boolean;
}

/** Times in milliseconds. */
export interface RosterTimes {
  /** Without a heartbeat for so long, an endpoint counts as silent. */
  readonly silence: number;
  /** A silent endpoint is forgotten after so long, one that is gone too. */
  readonly memory: number;
}

/** A report that has come to this host. */
export interface Report {
  readonly sighting: Sighting;
  /** When the endpoint was heard, by the clock of this host. */
  readonly heard: number;
  readonly coldUntil?: number;
  /** Whether a host that hears all heartbeats holds it for silent; absent when
   * the report is a heartbeat itself. */
  readonly isSilent?: boolean;
}

/** Endpoints by id; changed in place. */
export class Roster {
  readonly #times: RosterTimes;
  readonly #entries = new Map<string, RosterEntry>();
  #revision = 0;

  private constructor(times: RosterTimes) {
    this.#times = times;
  }

  /** An empty roster. */
  static create(times: RosterTimes): Roster {
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

  /** Takes a report; returns whether others should hear of it at once. */
  take({ sighting, heard, coldUntil = 0, isSilent }: Report): boolean {
    const known = this.#entries.get(sighting.id);
    if (known === undefined) {
      this.#put({ ...sighting, heard, coldUntil, isSilent: isSilent ?? false });
      return true;
    }
    if (known.state === "gone") return false;
    const isOlder = sighting.sequence < known.sequence;
    if (isOlder && sighting.state !== "gone") return false;
    const next: RosterEntry = {
      ...known,
      ...(isOlder ? {} : sighting),
      state: sighting.state,
      heard: Math.max(heard, known.heard),
      coldUntil: isOlder ? known.coldUntil : coldUntil,
      isSilent: isSilent ?? (known.isSilent && heard <= known.heard),
    };
    const isNews = isDifferent(known, next);
    if (isNews) this.#put(next);
    else this.#entries.set(next.id, next);
    return isNews;
  }

  /** Notes that an endpoint has left, also one that was never heard. */
  leave(id: string, now: number): boolean {
    const known = this.#entries.get(id) ?? unknown(id);
    if (known.state === "gone") return false;
    this.#put({ ...known, state: "gone", heard: now });
    return true;
  }

  /** Marks what is silent and forgets what has been so for long. */
  expire(now: number): void {
    const { silence, memory } = this.#times;
    for (const entry of [...this.#entries.values()]) {
      const age = now - entry.heard;
      const isOver = entry.isSilent || entry.state === "gone";
      if (isOver && age > memory) this.#entries.delete(entry.id);
      else if (!isOver && age > silence) {
        this.#put({ ...entry, isSilent: true });
      }
    }
  }

  /** What has changed after a revision. */
  since(revision: number): RosterEntry[] {
    return [...this.#entries.values()].filter((entry) =>
      entry.revision > revision
    );
  }

  #put(entry: Omit<RosterEntry, "revision">): void {
    this.#entries.set(entry.id, { ...entry, revision: ++this.#revision });
  }
}

function unknown(id: string): Omit<RosterEntry, "revision"> {
  return {
    id,
    service: "unknown",
    address: "unknown",
    dataCentre: "unknown",
    version: "",
    slots: 0,
    state: "ready",
    sequence: -1,
    heard: 0,
    coldUntil: 0,
    isSilent: false,
  };
}

const COMPARED = ["service", "address", "slots", "state", "isSilent"] as const;

function isDifferent(one: RosterEntry, other: RosterEntry): boolean {
  return COMPARED.some((key) => one[key] !== other[key]);
}
