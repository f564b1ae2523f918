/** Endpoints known from heartbeats, merged from the reports of several hosts.
 *
 * Merging is commutative, so that hosts which have received the same reports in
 * any order have the same roster. Of two incarnations of an id the later one
 * replaces the earlier one entirely, and further reports about the earlier one
 * are ignored. Within an incarnation the report with the higher sequence number
 * wins, and `gone` is final. An endpoint without heartbeats is marked silent,
 * not removed: a partition between it and this host does not mean that calls
 * to it fail.
 *
 * A report that names an unknown service may come from another writer. It is
 * kept, since the service may become known, but it does not replace a report of
 * a known service under the same id, and any of these replaces it. Hosts with
 * the same configuration have the same roster.
 * @module */

import * as incarnations from "./incarnation.ts";

/** State that an endpoint reports; `gone` once it has left. */
export type EndpointState = "ready" | "draining" | "gone";

/** Status that an endpoint reports about itself. */
export interface EndpointStatus extends incarnations.Incarnation {
  readonly service: string;
  /** IP address and port. */
  readonly address: string;
  readonly dataCentre: string;
  /** Version of the endpoint's software. */
  readonly version: string;
  readonly slots: number;
  readonly state: EndpointState;
  /** Grows with each report of the endpoint; -1 if it is not known. */
  readonly sequence: number;
}

/** An endpoint in a roster. */
export interface RosterEntry extends EndpointStatus {
  /** Time of the last heartbeat, by the clock of this host. */
  readonly heardAt: number;
  /** End of the cold start, during which the endpoint is slow and can take few
   * requests. */
  readonly coldUntil: number;
  /** Roster revision of the last change that other hosts should learn of. */
  readonly revision: number;
  /** Whether heartbeats have stopped for the silence timeout. */
  readonly isSilent: boolean;
  /** When this host first learned of this incarnation. */
  readonly firstHeardAt: number;
}

/** Timeouts of a roster, and the services that it knows. */
export interface RosterOptions {
  /** Time without a heartbeat after which an endpoint is marked silent. */
  readonly silenceTimeoutMs: number;
  /** Time without a heartbeat after which an endpoint that is silent or gone is
   * removed. */
  readonly retentionMs: number;
  /** Whether the configuration has a service. Absent if all services are
   * known. */
  isKnownService?(service: string): boolean;
}

/** A status report as received by this host. */
export interface StatusReport {
  readonly status: EndpointStatus;
  /** Time of the heartbeat, by the clock of this host. */
  readonly heardAt: number;
  readonly coldUntil?: number;
  /** Whether a host that receives heartbeats considers the endpoint silent;
   * absent if this host decides that itself. */
  readonly isSilent?: boolean;
}

/** Endpoints by id; mutable. */
export class Roster {
  readonly #options: RosterOptions;
  readonly #entries = new Map<string, RosterEntry>();
  #revision = 0;

  private constructor(options: RosterOptions) {
    this.#options = options;
  }

  /** Creates an empty roster. */
  static create(options: RosterOptions): Roster {
    return new Roster(options);
  }

  /** Grows with each change that other hosts should learn of. */
  get revision(): number {
    return this.#revision;
  }

  /** All entries, including those that are silent or gone. */
  get entries(): Iterable<RosterEntry> {
    return this.#entries.values();
  }

  /** Returns the entry of an endpoint. */
  get(id: string): RosterEntry | undefined {
    return this.#entries.get(id);
  }

  /** Returns the entry of an incarnation by its key; undefined if a different
   * incarnation of the id is known. */
  find(key: string): RosterEntry | undefined {
    const known = this.get(key) ?? this.get(incarnations.idOf(key));
    const isSame = known !== undefined && incarnations.keyOf(known) === key;
    return isSame ? known : undefined;
  }

  /** Merges a report; returns whether other hosts should learn of it at
   * once. */
  merge(
    { status, heardAt, coldUntil = 0, isSilent }: StatusReport,
  ): boolean {
    const known = this.#entries.get(status.id);
    const order = known === undefined
      ? 1
      : this.#compareService(status, known) ||
        compareIncarnation(status, known, heardAt);
    if (known === undefined || order > 0) {
      const reported = { coldUntil, isSilent: isSilent ?? false };
      this.#store({
        ...status,
        ...reported,
        heardAt,
        firstHeardAt: heardAt,
      });
      return true;
    }
    if (order < 0 || known.state === "gone") return false;
    const isOlder = isOlderReport(status, known);
    if (isOlder && status.state !== "gone") return false;
    const next: RosterEntry = {
      ...known,
      ...(isOlder ? {} : { ...status, born: known.born }),
      state: status.state,
      heardAt: Math.max(heardAt, known.heardAt),
      coldUntil: isOlder ? known.coldUntil : coldUntil,
      isSilent: isSilent ?? (known.isSilent && heardAt <= known.heardAt),
    };
    const isChanged = hasChanged(known, next);
    if (isChanged) this.#store(next);
    else this.#entries.set(next.id, next);
    return isChanged;
  }

  /** Records that an endpoint has left, even if it is unknown. Without a start
   * time this applies to the known incarnation. */
  recordLeave(left: incarnations.Incarnation, now: number): boolean {
    return this.merge({ status: leftStatus(left), heardAt: now });
  }

  /** Marks silent endpoints, and removes those that have been silent or gone
   * for the retention time. */
  expire(now: number): void {
    const { silenceTimeoutMs, retentionMs } = this.#options;
    for (const entry of [...this.#entries.values()]) {
      const age = now - entry.heardAt;
      const isInactive = entry.isSilent || entry.state === "gone";
      if (isInactive && age > retentionMs) this.#entries.delete(entry.id);
      else if (!isInactive && age > silenceTimeoutMs) {
        this.#store({ ...entry, isSilent: true });
      }
    }
  }

  /** Returns the entries that have changed since a revision. */
  changedSince(revision: number): RosterEntry[] {
    return [...this.#entries.values()].filter((entry) =>
      entry.revision > revision
    );
  }

  /** Above 0 if only the service of a report is known, below 0 if only that of
   * the known entry is. Departures name no service. */
  #compareService(status: EndpointStatus, known: RosterEntry): number {
    const { isKnownService = () => true } = this.#options;
    if (status.service === known.service) return 0;
    if (status.state === "gone" || known.state === "gone") return 0;
    return Number(isKnownService(status.service)) -
      Number(isKnownService(known.service));
  }

  #store(entry: Omit<RosterEntry, "revision">): void {
    this.#entries.set(entry.id, { ...entry, revision: ++this.#revision });
  }
}

/** Above 0 if a report is about a later incarnation than the known one, below 0
 * if about an earlier one. */
function compareIncarnation(
  status: EndpointStatus,
  known: RosterEntry,
  heardAt: number,
): number {
  const order = incarnations.compare(status, known);
  const lacksStart = status.state === "gone" && status.born === undefined;
  if (order >= 0 || !lacksStart) return order;
  // A leave without a start time applies to the incarnation known at the time
  // of the leave, not to one that was first heard of later.
  return heardAt >= known.firstHeardAt ? 0 : order;
}

/** Whether a report about the known incarnation is older than the known one.
 * Another implementation may send different reports with the same sequence
 * number; all hosts then keep the same one. */
function isOlderReport(status: EndpointStatus, known: RosterEntry): boolean {
  if (status.sequence !== known.sequence) {
    return status.sequence < known.sequence;
  }
  return sortKey(status) < sortKey(known);
}

/** Returns the sort key of reports with equal sequence numbers; any other state
 * wins over ready. */
function sortKey(status: EndpointStatus): string {
  const { state, service, address, dataCentre, version, slots } = status;
  const rank = state === "ready" ? 0 : 1;
  return JSON.stringify([rank, service, address, dataCentre, version, slots]);
}

function leftStatus({ id, born }: incarnations.Incarnation): EndpointStatus {
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

const COMPARED_FIELDS = [
  "born",
  "service",
  "address",
  "slots",
  "state",
  "isSilent",
] as const;

function hasChanged(one: RosterEntry, other: RosterEntry): boolean {
  return COMPARED_FIELDS.some((key) => one[key] !== other[key]) ||
    isColdLonger(one, other);
}

/** Whether the end of an endpoint's cold start has moved later. */
function isColdLonger(one: RosterEntry, other: RosterEntry): boolean {
  const known = Math.max(one.coldUntil, other.heardAt);
  return other.coldUntil > known + COLD_TOLERANCE_MS;
}

/** Tolerated difference between reported ends of a cold start; message latency
 * shifts each of them. */
const COLD_TOLERANCE_MS = 250;
