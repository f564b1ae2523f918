/** Slots of brittle endpoints on entry hosts: counts this host's calls of any
 * kind, and acquires a grant before each call to a brittle endpoint.
 * @module */

import * as peers from "../peers/mod.ts";
import * as rendezvous from "../routing/rendezvous.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";

/** Timeout of calls to a control host: many times the usual duration. */
const CALL_TIMEOUT_MS = 150;
/** Control hosts that know the calls at an endpoint: the owner of its slots, and
 * the one that is asked when the owner does not reply. */
const OWNER_COUNT = 2;
/** Time in which a granted call is begun. */
const GRANT_LIFETIME_MS = 500;
/** Interval at which calls in flight are reported again; a control host that takes
 * over knows all of them after one interval. */
const REPORT_INTERVAL_MS = 200;
/** Time until the next try while no control host answers. */
const LOCAL_RETRY_MS = 100;

/** Dependencies of a `SlotClient`. */
export interface SlotClientOptions {
  readonly self: string;
  readonly clock: runtime.Clock;
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
  readonly calls: Pick<peers.Rpc, "ask" | "cast">;
  controlHosts(): readonly string[];
  /** Entry hosts, this one included. */
  entryHosts(): readonly string[];
  /** Calls that a brittle endpoint runs at once; undefined if it is not
   * brittle. */
  slots(endpoint: string): number | undefined;
}

/** This host's use of one endpoint. */
interface Usage {
  calls: number;
  /** Questions without a reply. */
  questions: number;
  /** Grants whose calls have not begun, the oldest first; each cancels its
   * expiry. */
  readonly grants: runtime.Cancel[];
  blockedUntil: number;
  isReportScheduled: boolean;
}

/** Calls of one entry host by endpoint. Changed in place. */
export class SlotClient {
  readonly #options: SlotClientOptions;
  readonly #usages = new Map<string, Usage>();

  private constructor(options: SlotClientOptions) {
    this.#options = options;
  }

  static create(options: SlotClientOptions): SlotClient {
    return new SlotClient(options);
  }

  /** Endpoints that take no call of this host now. */
  get blockedEndpoints(): string[] {
    const now = this.#options.clock.now();
    return [...this.#usages]
      .filter(([, { blockedUntil }]) => now < blockedUntil)
      .map(([endpoint]) => endpoint);
  }

  /** Whether calls to an endpoint need a grant. */
  isLimited(endpoint: string): boolean {
    return this.#options.slots(endpoint) !== undefined;
  }

  /** Acquires a grant for one call; resolves with 0, or with the milliseconds
   * after which to retry. */
  async acquire(endpoint: string): Promise<number> {
    const { slots: slotsOf, clock, metrics } = this.#options;
    const slots = slotsOf(endpoint);
    if (slots === undefined) return 0;
    const usage = this.#usageOf(endpoint);
    const remaining = usage.blockedUntil - clock.now();
    if (remaining > 0) return remaining;
    this.#scheduleReport(endpoint, usage);
    // Counted before the reply, so that concurrent questions add up.
    const inFlight = inFlightOf(usage);
    usage.questions++;
    const wait = await this.#ask({ type: "slot", endpoint, slots, inFlight });
    usage.questions--;
    if (wait === 0) {
      this.#addGrant(endpoint, usage);
      return 0;
    }
    // Concurrent questions that were refused too were counted in this one.
    if (inFlightOf(usage) !== inFlight) this.#report(endpoint, usage);
    usage.blockedUntil = clock.now() + wait;
    clock.after(wait, () => this.#removeUnused(endpoint));
    metrics.count("slots.withheld");
    return wait;
  }

  /** Records that a call begins. */
  begin(endpoint: string): void {
    const usage = this.#usageOf(endpoint);
    usage.calls++;
    usage.grants.shift()?.();
    if (!this.isLimited(endpoint)) return;
    this.#report(endpoint, usage);
    this.#scheduleReport(endpoint, usage);
  }

  /** Records that a call has ended. */
  end(endpoint: string): void {
    const usage = this.#usageOf(endpoint);
    usage.calls--;
    usage.blockedUntil = -Infinity;
    if (this.isLimited(endpoint)) this.#report(endpoint, usage);
    this.#removeUnused(endpoint);
  }

  /** State for the state dump. */
  dump(): unknown {
    return [...this.#usages]
      .filter(([endpoint]) => this.isLimited(endpoint))
      .map(([endpoint, { calls, grants, questions }]) => ({
        endpoint,
        calls,
        grants: grants.length,
        questions,
      }));
  }

  #usageOf(endpoint: string): Usage {
    const known = this.#usages.get(endpoint);
    if (known !== undefined) return known;
    const created = {
      calls: 0,
      questions: 0,
      grants: [],
      blockedUntil: -Infinity,
      isReportScheduled: false,
    };
    this.#usages.set(endpoint, created);
    return created;
  }

  #removeUnused(endpoint: string): void {
    const usage = this.#usages.get(endpoint);
    if (usage === undefined || inFlightOf(usage) > 0) return;
    const isBlocked = this.#options.clock.now() < usage.blockedUntil;
    if (!isBlocked) this.#usages.delete(endpoint);
  }

  /** Adds a grant, which is given up if its call does not begin. */
  #addGrant(endpoint: string, usage: Usage): void {
    const { clock } = this.#options;
    const cancel = clock.after(GRANT_LIFETIME_MS, () => {
      usage.grants.splice(usage.grants.indexOf(cancel), 1);
      this.#report(endpoint, usage);
    });
    usage.grants.push(cancel);
  }

  async #ask(question: schema.SlotQuestion): Promise<number> {
    const { calls, logger } = this.#options;
    const { endpoint } = question;
    const reply = await peers.askInTurn(question, "quota", {
      calls,
      hosts: this.#ownersOf(endpoint),
      timeout: CALL_TIMEOUT_MS,
      logger,
      message: "Control host did not grant a slot; trying the next one",
      fields: { endpoint },
    });
    if (reply !== undefined) return reply.granted ? 0 : reply.wait;
    return question.inFlight < this.#ownShare(question) ? 0 : LOCAL_RETRY_MS;
  }

  /** Slots that this host may use while no control host answers; the shares of
   * all hosts add up to the endpoint's slots. */
  #ownShare({ endpoint, slots }: schema.SlotQuestion): number {
    const { self, entryHosts } = this.#options;
    const ranked = rendezvous.rank(endpoint, entryHosts());
    const count = Math.max(1, ranked.length);
    const isExtra = Math.max(0, ranked.indexOf(self)) < slots % count;
    return Math.floor(slots / count) + (isExtra ? 1 : 0);
  }

  /** Reports calls in flight while there are any. */
  #scheduleReport(endpoint: string, usage: Usage): void {
    if (usage.isReportScheduled) return;
    usage.isReportScheduled = true;
    this.#options.clock.after(REPORT_INTERVAL_MS, () => {
      usage.isReportScheduled = false;
      if (usage.calls === 0 || !this.isLimited(endpoint)) return;
      this.#report(endpoint, usage);
      this.#scheduleReport(endpoint, usage);
    });
  }

  #report(endpoint: string, usage: Usage): void {
    for (const owner of this.#ownersOf(endpoint)) {
      this.#options.calls.cast(owner, {
        type: "slots",
        endpoint,
        inFlight: inFlightOf(usage),
      });
    }
  }

  #ownersOf(endpoint: string): string[] {
    return rendezvous.rank(endpoint, this.#options.controlHosts()).slice(
      0,
      OWNER_COUNT,
    );
  }
}

/** Calls in flight, and those that are granted or asked for. */
function inFlightOf({ calls, questions, grants }: Usage): number {
  return calls + questions + grants.length;
}
