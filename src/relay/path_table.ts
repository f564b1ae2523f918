/** Which paths lead from this host to endpoints: directly, through another host,
 * or none.
 *
 * A failed connection alone does not tell a fault of an endpoint from a fault of
 * the path to it. If another host reaches the endpoint, the path is at fault.
 * Several such endpoints without a direct answer of any other mean that this
 * host is partitioned from all of them.
 * @module */

/** Path of calls to an endpoint; `none` if neither this host nor another one
 * reaches it. */
export type Path = "direct" | "relayed" | "none";

/** Endpoints that only other hosts reach from which this host counts as
 * partitioned from all: one or its own link may fail by itself. */
const MIN_RELAYED_COUNT = 2;
/** Time without a byte from any endpoint after which open connections may be
 * dead. */
const SILENCE_MS = 1000;

/** A path other than the direct one. */
interface Detour {
  readonly path: "relayed" | "none";
  readonly since: number;
}

/** When endpoints last sent something on one kind of path. */
class Evidence {
  readonly #heardAt = new Map<string, number>();
  lastHeardAt = -Infinity;

  static create(): Evidence {
    return new Evidence();
  }

  record(address: string, now: number): void {
    this.lastHeardAt = now;
    this.#heardAt.set(address, now);
  }

  forget(address: string): void {
    this.#heardAt.delete(address);
  }

  hasOthers(address: string, since: number): boolean {
    if (this.lastHeardAt < since) return false;
    for (const [other, at] of this.#heardAt) {
      if (other !== address && at >= since) return true;
    }
    return false;
  }
}

/** Paths to endpoints by address. Changed in place; addresses without a record
 * are reached directly. */
export class PathTable {
  readonly #detours = new Map<string, Detour>();
  readonly #suspicions = new Map<string, number>();
  readonly #direct = Evidence.create();
  readonly #relayed = Evidence.create();

  /** Creates a table in which all endpoints are reached directly. */
  static create(): PathTable {
    return new PathTable();
  }

  /** The path of new connections to an endpoint. */
  pathTo(address: string): Path {
    const path = this.#detours.get(address)?.path ?? "direct";
    return path === "direct" && this.isPartitioned ? "relayed" : path;
  }

  /** Whether this host reaches several endpoints through other hosts only, and
   * none directly. */
  get isPartitioned(): boolean {
    if (this.#detours.size < MIN_RELAYED_COUNT) return false;
    const proofs = [...this.#detours.values()].filter(({ path, since }) =>
      path === "relayed" && since > this.#direct.lastHeardAt
    );
    return proofs.length >= MIN_RELAYED_COUNT;
  }

  /** Addresses that are not reached directly. */
  get detours(): { address: string; path: "relayed" | "none" }[] {
    return [...this.#detours].map(([address, { path }]) => ({ address, path }));
  }

  /** Records that bytes, or the acceptance of a connection, came directly from
   * an endpoint. */
  recordDirect(address: string, now: number): void {
    this.#direct.record(address, now);
  }

  /** Records that bytes came from an endpoint through another host. */
  recordRelayed(address: string, now: number): void {
    this.#relayed.record(address, now);
  }

  /** Records the path of a new connection to an endpoint, or that none leads to
   * it. Returns whether the path has changed. */
  recordConnection(address: string, path: Path, now: number): boolean {
    if (path === "direct") return this.#recordDirectConnection(address, now);
    if (path === "relayed") this.recordRelayed(address, now);
    const isChanged = this.#detours.get(address)?.path !== path;
    if (isChanged) this.#detours.set(address, { path, since: now });
    return isChanged;
  }

  /** Records that a call to an endpoint broke or was not answered, so that open
   * connections to it may be dead. */
  recordSuspicion(address: string): void {
    this.#suspicions.set(address, (this.#suspicions.get(address) ?? 0) + 1);
  }

  /** Removes what is known of an address whose endpoint has ended. */
  forget(address: string): void {
    this.#detours.delete(address);
    this.#direct.forget(address);
    this.#relayed.forget(address);
    this.#suspicions.delete(address);
  }

  /** Identifies the connections to an address that may be used for new calls:
   * only those opened while it had the same value. */
  epochOf(address: string): string {
    return `${this.pathTo(address)} ${this.#suspicions.get(address) ?? 0}`;
  }

  /** Whether connections opened at `openedAt` may all be dead, since no endpoint
   * has sent anything on its path for some time. */
  isSilent(address: string, openedAt: number, now: number): boolean {
    const { lastHeardAt } = this.#evidenceOf(address);
    return now - Math.max(openedAt, lastHeardAt) > SILENCE_MS;
  }

  /** Whether endpoints other than the one at `address` have sent something
   * since a time on the kind of path that leads to it: then a fault of the path
   * is unlikely. */
  hasHeardOthers(address: string, since: number): boolean {
    return this.#evidenceOf(address).hasOthers(address, since);
  }

  #evidenceOf(address: string): Evidence {
    return this.pathTo(address) === "direct" ? this.#direct : this.#relayed;
  }

  /** A direct connection ends a partition of the host: the paths to the other
   * endpoints are then tried again. */
  #recordDirectConnection(address: string, now: number): boolean {
    const isChanged = this.#detours.has(address);
    if (this.isPartitioned) this.#detours.clear();
    this.#detours.delete(address);
    this.recordDirect(address, now);
    return isChanged;
  }
}
