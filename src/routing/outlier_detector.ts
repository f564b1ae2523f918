/** Keeps calls away from endpoints that fail or are slow against their group,
 * and lets them back slowly. A share of the group is always tried.
 * @module */

import * as record from "./health.ts";

/** An ended call of one endpoint. */
interface Judgement {
  id: string;
  health: record.Health;
  seen: record.Observation;
  now: number;
}

/** Failures in a row that eject. */
const IN_A_ROW = 3;
/** Share of failed calls above the group's that ejects. */
const FAILING = 0.3;
/** Calls before a share of failures counts. */
const ENOUGH = 8;
/** Slowness against the group's median that ejects at the least. */
const SLOW = Math.log(3);
/** Slowness against the median that is noise at the least. */
const NOISE = Math.log(1.5);
/** Deviations from the group's median that eject. */
const DEVIATIONS = 5;
/** Deviation of a normal distribution for its median absolute deviation. */
const NORMAL = 1.4826;
/** Milliseconds of a first ejection, doubled for each one after it. */
const EJECTION = 2000;
/** Milliseconds that an endpoint can ask to be left alone at most. */
const MOST_HOLD = 30_000;
/** Milliseconds of an ejection at most. */
const MOST_EJECTION = 60_000;
/** Probes that must go well before an endpoint returns. */
const PROBES = 2;
/** Milliseconds after which a probe without result may be repeated. */
const PROBE_TIME = 5000;
/** Share of the group that may be ejected. */
const MOST_EJECTED = 0.5;
/** Milliseconds between two looks at the whole group. */
const LOOK = 500;
/** Endpoints that such a look reads at most. */
const LOOK_AT = 256;

/** Health of the endpoints of one service; changed in place. */
export class OutlierDetector {
  #members = new Map<string, record.Health>();
  #out = new Map<string, record.Health>();
  #nextProbe = Infinity;
  #looked = -Infinity;
  #median = 0;
  #deviation = 0;
  #failing = 0;
  /** Whether enough of the group is timed to compare one with it. */
  #comparable = false;

  /** A group without members. */
  static create(): OutlierDetector {
    return new OutlierDetector();
  }

  /** Endpoints that get no calls but probes now. */
  get ejectedCount(): number {
    return this.#out.size;
  }

  /** Ids of the endpoints that get no calls but probes now. */
  get ejectedIds(): readonly string[] {
    return [...this.#out.keys()];
  }

  /** Adds an endpoint. */
  add(id: string): void {
    if (!this.#members.has(id)) this.#members.set(id, record.createHealth());
  }

  /** Removes an endpoint and what is known of it. */
  remove(id: string): void {
    this.#members.delete(id);
    this.#out.delete(id);
    this.#readmit();
    this.#schedule();
  }

  /** State of an endpoint. */
  state(id: string): record.HealthState {
    return this.#members.get(id)?.state ?? "used";
  }

  /** Share of its usual calls that an endpoint may get, 0 to 1. */
  weight(id: string, now: number): number {
    const health = this.#members.get(id);
    if (health === undefined) return 0;
    if (now < health.heldUntil) return 0;
    return record.weightByState[health.state](health, now);
  }

  /** Time that the endpoint takes over what its group's median takes; 1
   * within the noise, since calls differ more than endpoints do. */
  slowness(id: string): number {
    const health = this.#members.get(id);
    if (health === undefined || health.timedSamples < ENOUGH) return 1;
    if (!this.#comparable) return 1;
    const against = health.meanLogSlowness - this.#median;
    const noise = Math.max(NOISE, 2 * this.#deviation);
    return against > noise ? Math.exp(against) : 1;
  }

  /** Notes that a call is sent; a probe when the endpoint is ejected. */
  startCall(id: string, now: number): void {
    const health = this.#out.get(id);
    if (health === undefined) return;
    health.state = "probing";
    health.until = now + PROBE_TIME;
    this.#schedule();
  }

  /** An ejected endpoint that one call may try now. */
  dueProbe(now: number): string | undefined {
    if (now < this.#nextProbe) return undefined;
    for (const [id, health] of this.#out) {
      if (now >= health.until && now >= health.heldUntil) return id;
    }
    return undefined;
  }

  /** Keeps calls away for `ms`, as the endpoint asked. */
  hold(id: string, ms: number, now: number): void {
    const health = this.#members.get(id);
    if (health === undefined) return;
    const until = now + Math.min(MOST_HOLD, ms);
    health.heldUntil = Math.max(health.heldUntil, until);
  }

  /** Learns from an ended call. */
  observe(id: string, seen: record.Observation, now: number): void {
    const health = this.#members.get(id);
    if (health === undefined) return;
    record.record(health, seen);
    this.#look(now);
    judges[health.state](this, { id, health, seen, now });
  }

  /** Judges an endpoint in use by its means. */
  evaluateInUse({ id, health, now }: Judgement): void {
    if (health.state === "returning" && now >= health.until) {
      health.state = "used";
      health.ejections = Math.max(0, health.ejections - 1);
    }
    health.suspect = this.#bad(health);
    if (health.suspect && this.#spare()) this.#eject(id, health, { now });
  }

  /** Judges an ejected endpoint by its probe alone. */
  evaluateProbe({ id, health, seen, now }: Judgement): void {
    const against = Math.log(seen.slowness ?? 1) - this.#median;
    const slow = this.#comparable && against > SLOW;
    if (!seen.ok || slow) return this.#eject(id, health, { now });
    health.probes++;
    health.state = "ejected";
    health.until = now;
    if (health.probes >= PROBES) this.#restore(id, health, { now });
    this.#schedule();
  }

  #bad(health: record.Health): boolean {
    if (health.consecutiveFailures >= IN_A_ROW) return true;
    const failing = health.failureRate - this.#failing > FAILING;
    if (health.samples >= ENOUGH && failing) return true;
    const bound = Math.max(SLOW, DEVIATIONS * this.#deviation);
    const slow = health.meanLogSlowness - this.#median > bound;
    return this.#comparable && health.timedSamples >= ENOUGH && slow;
  }

  #spare(): boolean {
    return this.#out.size + 1 <= this.#members.size * MOST_EJECTED;
  }

  #eject(id: string, health: record.Health, { now }: { now: number }): void {
    const time = EJECTION * 2 ** health.ejections;
    health.state = "ejected";
    health.until = now + Math.min(MOST_EJECTION, time);
    health.ejections++;
    health.probes = 0;
    this.#out.set(id, health);
    this.#schedule();
  }

  #restore(id: string, health: record.Health, { now }: { now: number }): void {
    const { ejections, heldUntil } = health;
    Object.assign(health, record.createHealth(), { ejections, heldUntil });
    health.state = "returning";
    health.until = now + record.RETURN_RAMP_MS;
    this.#out.delete(id);
  }

  /** Takes endpoints back when the group has become too small for them. */
  #readmit(): void {
    for (const [id, health] of this.#out) {
      if (this.#out.size <= this.#members.size * MOST_EJECTED) return;
      health.state = "used";
      health.suspect = true;
      this.#out.delete(id);
    }
  }

  #schedule(): void {
    this.#nextProbe = Infinity;
    for (const health of this.#out.values()) {
      this.#nextProbe = Math.min(this.#nextProbe, health.until);
    }
  }

  /** Medians of the group, read from a bounded part of it now and then. */
  #look(now: number): void {
    if (now - this.#looked < LOOK) return;
    this.#looked = now;
    const slowness: number[] = [];
    const failures: number[] = [];
    for (const health of this.#members.values()) {
      if (slowness.length >= LOOK_AT || failures.length >= LOOK_AT) break;
      if (health.timedSamples >= ENOUGH) slowness.push(health.meanLogSlowness);
      if (health.samples >= ENOUGH) failures.push(health.failureRate);
    }
    this.#median = median(slowness);
    const looked = Math.min(LOOK_AT, this.#members.size);
    this.#comparable = slowness.length >= Math.max(2, looked / 2);
    const deviations = slowness.map((one) => Math.abs(one - this.#median));
    this.#deviation = NORMAL * median(deviations);
    this.#failing = median(failures);
  }
}

/** Who judges an ended call. Calls that were sent before an ejection end
 * after it; they do not make it longer. */
const judges: Record<
  record.HealthState,
  (group: OutlierDetector, judgement: Judgement) => void
> = {
  used: (group, judgement) => group.evaluateInUse(judgement),
  returning: (group, judgement) => group.evaluateInUse(judgement),
  probing: (group, judgement) => group.evaluateProbe(judgement),
  ejected: () => {},
};

function median(values: number[]): number {
  if (values.length === 0) return 0;
  values.sort((a, b) => a - b);
  return values[(values.length - 1) >> 1];
}
