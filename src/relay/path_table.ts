/** Which paths lead from this host to endpoints: directly, through another host,
 * or none.
 *
 * A failed connection alone does not tell a fault of an endpoint from a fault of
 * the path to it. If another host reaches the endpoint, the path is at fault.
 * Several such endpoints without a direct byte from any other mean that this
 * host is partitioned from all of them.
 * @module */

/** Path of calls to an endpoint; `none` if neither this host nor another one
 * reaches it. */
export type Path = "direct" | "relayed" | "none";

/** Endpoints that only other hosts reach from which this host counts as
 * partitioned from all: one or its own link may fail by itself. */
const MIN_RELAYED_COUNT = 2;
/** Time without a byte from any endpoint after which this host may be partitioned
 * and open connections may be dead. */
const SILENCE_MS = 1000;

/** A path other than the direct one, which has failed. */
interface Detour {
  readonly path: "relayed" | "none";
  readonly since: number;
}

/** When endpoints last sent something on one kind of path. */
class Evidence {
  readonly #receivedAt = new Map<string, number>();
  lastReceivedAt = -Infinity;

  static create(): Evidence {
    return new Evidence();
  }

  record(address: string, now: number): void {
    this.lastReceivedAt = now;
    this.#receivedAt.set(address, now);
  }

  forget(address: string): void {
    this.#receivedAt.delete(address);
  }

  hasOthers(address: string, since: number): boolean {
    if (this.lastReceivedAt < since) return false;
    for (const [other, at] of this.#receivedAt) {
      if (other !== address && at >= since) return true;
    }
    return false;
  }
}

/** Paths to endpoints by address. Changed in place; addresses without a record
 * are reached directly. */
export class PathTable {
  readonly #detours = new Map<string, Detour>();
  /** Changes of the path, and suspicions, by address. */
  readonly #changes = new Map<string, number>();
  readonly #direct = Evidence.create();
  readonly #relayed = Evidence.create();

  /** Creates a table in which all endpoints are reached directly. */
  static create(): PathTable {
    return new PathTable();
  }

  /** The path of new connections to an endpoint. */
  pathTo(address: string, now: number): Path {
    const path = this.#detours.get(address)?.path ?? "direct";
    return path === "direct" && this.isPartitioned(now) ? "relayed" : path;
  }

  /** Whether this host reaches several endpoints through other hosts only, and
   * has received nothing directly since. */
  isPartitioned(now: number): boolean {
    const { lastReceivedAt } = this.#direct;
    if (this.#detours.size < MIN_RELAYED_COUNT) return false;
    if (now - lastReceivedAt <= SILENCE_MS) return false;
    const proofs = [...this.#detours.values()].filter(({ path, since }) =>
      path === "relayed" && since > lastReceivedAt
    );
    return proofs.length >= MIN_RELAYED_COUNT;
  }

  /** Addresses whose direct path has failed. */
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

  /** Records that a direct connection has opened; returns whether the path has
   * changed. */
  recordDirectConnection(address: string, now: number): boolean {
    this.recordDirect(address, now);
    const isChanged = this.#detours.delete(address);
    if (isChanged) this.#recordChange(address);
    return isChanged;
  }

  /** Records a connection through another host; `isDirectTried` if the direct
   * path has failed beside it. Returns whether the path has changed. */
  recordRelayedConnection(
    address: string,
    { isDirectTried, now }: { isDirectTried: boolean; now: number },
  ): boolean {
    this.recordRelayed(address, now);
    const known = this.#detours.get(address)?.path;
    if (known === "relayed") return false;
    if (!isDirectTried) return this.#detours.delete(address);
    this.#detours.set(address, { path: "relayed", since: now });
    this.#recordChange(address);
    return true;
  }

  /** Records that no path leads to an endpoint; returns whether the path has
   * changed. */
  recordLoss(address: string, now: number): boolean {
    const isChanged = this.#detours.get(address)?.path !== "none";
    if (!isChanged) return false;
    this.#detours.set(address, { path: "none", since: now });
    this.#recordChange(address);
    return true;
  }

  /** Records that a call to an endpoint broke or was not answered, so that open
   * connections to it may be dead. */
  recordSuspicion(address: string): void {
    this.#recordChange(address);
  }

  /** Removes what is known of an address whose endpoint has ended. */
  forget(address: string): void {
    this.#detours.delete(address);
    this.#direct.forget(address);
    this.#relayed.forget(address);
    this.#changes.delete(address);
  }

  /** Identifies the connections to an address that may be used for new calls:
   * only those opened while it had the same value. */
  epochOf(address: string, now: number): string {
    return `${this.pathTo(address, now)} ${this.#changes.get(address) ?? 0}`;
  }

  /** Whether connections opened at `openedAt` may all be dead, since no endpoint
   * has sent anything on its path for some time. */
  isSilent(address: string, openedAt: number, now: number): boolean {
    const { lastReceivedAt } = this.#evidenceOf(address, now);
    return now - Math.max(openedAt, lastReceivedAt) > SILENCE_MS;
  }

  /** Whether endpoints other than the one at `address` have sent something
   * since a time on the kind of path that leads to it: then a fault of the path
   * is unlikely. */
  hasReceivedFromOthers(
    address: string,
    { since, now }: { since: number; now: number },
  ): boolean {
    return this.#evidenceOf(address, now).hasOthers(address, since);
  }

  #recordChange(address: string): void {
    this.#changes.set(address, (this.#changes.get(address) ?? 0) + 1);
  }

  #evidenceOf(address: string, now: number): Evidence {
    return this.pathTo(address, now) === "direct"
      ? this.#direct
      : this.#relayed;
  }
}
