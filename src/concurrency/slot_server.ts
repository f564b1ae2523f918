/** Slots of brittle endpoints on control hosts. Rendezvous hashing selects the
 * control host that grants them for an endpoint. Its state consists of what
 * entry hosts report, so another control host can take over without a transfer.
 * @module */

import type * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";

/** Time after the first report of an endpoint without grants: other hosts have
 * calls in flight there too, which they report meanwhile. */
const SETTLE_MS = 250;
/** Time for which a host's report counts; hosts with calls in flight report
 * several times within it. */
const REPORT_LIFETIME_MS = 3000;
/** Time after a refusal until the next question. */
const RETRY_MS = 100;

/** Dependencies of a `SlotServer`. */
export interface SlotServerOptions {
  readonly clock: runtime.Clock;
  readonly metrics: telemetry.Metrics;
}

/** Calls in flight at one endpoint. */
interface Usage {
  readonly grantsFrom: number;
  readonly reports: Map<string, { inFlight: number; at: number }>;
}

/** Grants calls to brittle endpoints. Changed in place. */
export class SlotServer {
  readonly #options: SlotServerOptions;
  readonly #usages = new Map<string, Usage>();

  private constructor(options: SlotServerOptions) {
    this.#options = options;
  }

  static create(options: SlotServerOptions): SlotServer {
    return new SlotServer(options);
  }

  /** Handles a host's question for a grant. */
  request(
    { endpoint, slots, inFlight }: schema.SlotQuestion,
    from: string,
  ): schema.QuotaReply {
    const { clock, metrics } = this.#options;
    const now = clock.now();
    const usage = this.#report(endpoint, { from, inFlight });
    const isGranted = now >= usage.grantsFrom && sumOf(usage, now) < slots;
    if (isGranted) usage.reports.set(from, { inFlight: inFlight + 1, at: now });
    metrics.count("slots.asked", 1, { granted: `${isGranted}` });
    return {
      type: "quota",
      granted: isGranted,
      wait: isGranted ? 0 : RETRY_MS,
    };
  }

  /** Records a host's calls in flight. */
  record({ endpoint, inFlight }: schema.SlotsNotice, from: string): void {
    this.#report(endpoint, { from, inFlight });
  }

  /** Removes endpoints of which no host has reported lately. */
  tick(): void {
    const now = this.#options.clock.now();
    for (const [endpoint, usage] of this.#usages) {
      sumOf(usage, now);
      if (usage.reports.size === 0) this.#usages.delete(endpoint);
    }
  }

  #report(
    endpoint: string,
    { from, inFlight }: { from: string; inFlight: number },
  ): Usage {
    const now = this.#options.clock.now();
    const usage = this.#usages.get(endpoint) ??
      { grantsFrom: now + SETTLE_MS, reports: new Map() };
    this.#usages.set(endpoint, usage);
    usage.reports.set(from, { inFlight, at: now });
    return usage;
  }
}

/** Calls in flight of all hosts; removes reports that are too old. */
function sumOf({ reports }: Usage, now: number): number {
  let sum = 0;
  for (const [host, { inFlight, at }] of reports) {
    if (now - at > REPORT_LIFETIME_MS) reports.delete(host);
    else sum += inFlight;
  }
  return sum;
}
