/** Bookings under keys, resent through other hosts while hosts are killed: each
 * runs at most once, and one that was answered is answered the same again.
 * @module */

import * as runtime from "../../src/runtime/mod.ts";
import type * as plan from "../../standins/experiment/plan.ts";
import type * as verify from "../../standins/experiment/verify.ts";
import * as chaos from "./chaos.ts";
import type * as finding from "./finding.ts";
import * as fleets from "./fleet.ts";
import * as requests from "./requests.ts";
import * as sites from "./site.ts";
import * as witnesses from "./witness.ts";

const FOLDER = "out/claims";
const SEED = 23;
/** Callers at work at once. */
const CALLERS = 12;
/** Milliseconds that one try may take. */
const DEADLINE = 3_000;
const PATIENCE = 4_000;
/** Tries under one key before its caller gives up. */
const MOST_TRIES = 60;
/** Milliseconds before a caller asks again. */
const RESEND = 150;
/** Share of bookings sent through two hosts at once. */
const DOUBLED = 0.2;
/** Share of answered bookings that are asked for once more, later. */
const ASKED_AGAIN = 0.5;
/** Milliseconds until then: a host may have died and come back meanwhile. */
const LATER = 4_000;
const KILLS: readonly [number, number] = [500, 2_500];

/** Runs the callers for some minutes. */
export async function measure(
  { settings, minutes }: finding.Options,
): Promise<finding.Finding> {
  const site = sites.Site.create(settings, FOLDER);
  try {
    await site.start();
    sites.tell("six daemons and their endpoints are ready");
    const random = runtime.createRandom(SEED);
    const killer = new chaos.Chaos({
      site,
      random,
      clock: runtime.systemClock,
      mortal: site.fleet.hosts,
      endpoints: false,
      interval: KILLS,
    });
    const killing = killer.run();
    const callers = new Callers(site, random);
    await callers.run(performance.now() + minutes * 60_000);
    killer.stop();
    await killing;
    const verdict = site.witness.judge(killer.disturbances);
    return {
      breaches: verdict.breaches,
      figures: {
        minutes,
        kills: killer.counts.kill,
        fates: callers.fates,
        askedAgain: callers.askedAgain,
        notRepeated: callers.notRepeated,
        callsAtDesk: callsAtDesk(site),
        verdict,
      },
    };
  } finally {
    await site.stop();
  }
}

function callsAtDesk(site: sites.Site): number {
  return site.standIns.ledger.totals().costs["dive-desk"]?.calls ?? 0;
}

/** Callers who book one after another. */
class Callers {
  /** How bookings ended for their callers. */
  readonly fates: Record<string, number> = {};
  /** Answers to resends of answered bookings, by kind. */
  readonly askedAgain: Record<string, number> = {};
  /** Answered bookings whose answer no resend got again. */
  notRepeated = 0;
  readonly #site: sites.Site;
  readonly #random: runtime.Random;
  readonly #later: Promise<void>[] = [];

  constructor(site: sites.Site, random: runtime.Random) {
    this.#site = site;
    this.#random = random;
  }

  async run(end: number): Promise<void> {
    const callers = Array.from({ length: CALLERS }, () => this.#call(end));
    const watch = setInterval(() => {
      sites.tell(JSON.stringify(this.fates));
    }, 5_000);
    await Promise.all(callers);
    await Promise.all(this.#later);
    clearInterval(watch);
  }

  async #call(end: number): Promise<void> {
    while (performance.now() < end) {
      const booking = requests.create("booking");
      const fate = await this.#insist(booking);
      const name = witnesses.describe(fate);
      this.fates[name] = (this.fates[name] ?? 0) + 1;
      if (fate.type !== "plain") continue;
      if (this.#random.next() >= ASKED_AGAIN) continue;
      this.#later.push(this.#askAgain(booking));
    }
  }

  /** Asks until the fate of a booking is known, or tries are used up. */
  async #insist(booking: plan.Planned): Promise<verify.Reply> {
    const doubled = this.#random.next() < DOUBLED;
    let replies = await Promise.all(
      [this.#send(booking), ...(doubled ? [this.#send(booking)] : [])],
    );
    for (let tries = 1;; tries++) {
      const found = replies.find(known) ?? replies[0];
      if (known(found) || tries === MOST_TRIES) return found;
      await fleets.pause(RESEND);
      replies = [await this.#send(booking)];
    }
  }

  async #askAgain(booking: plan.Planned): Promise<void> {
    await fleets.pause(LATER);
    for (let tries = 0; tries < MOST_TRIES; tries++) {
      const reply = await this.#send(booking);
      if (reply.type === "broken" || reply.type === "silence") continue;
      const name = witnesses.describe(reply);
      this.askedAgain[name] = (this.askedAgain[name] ?? 0) + 1;
      if (reply.type === "plain") return;
      await fleets.pause(RESEND);
    }
    this.notRepeated++;
  }

  #send(booking: plan.Planned): Promise<verify.Reply> {
    const { urls } = this.#site;
    const host = urls[this.#random.below(urls.length)];
    const made = { host, left: DEADLINE, patience: DEADLINE + PATIENCE };
    return this.#site.witness.send(booking, made);
  }
}

/** Whether a caller has nothing more to learn by asking again. */
function known(reply: verify.Reply): boolean {
  if (reply.type === "plain") return true;
  return reply.type === "problem" && reply.name !== "in-progress" &&
    reply.outcome !== "not-run";
}
