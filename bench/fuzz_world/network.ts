/** Links between hosts in virtual time: messages are delayed, lost and cut.
 * @module */

import type * as peers from "../../src/peers/mod.ts";
import type * as runtime from "../../src/runtime/mod.ts";
import type * as schema from "../../src/schema/fleet_types.ts";

/** A host that takes messages. */
export interface Receiver {
  answer(
    question: schema.Question,
    from: string,
  ): schema.Reply | Promise<schema.Reply>;
  hear(notice: schema.Notice, from: string): void;
}

/** Greatest milliseconds of a message's way. */
const WAY = 4;
/** Part of the messages that is lost. */
const LOSS = 0.02;

/** Links of a fleet. */
export class Network {
  readonly #clock: runtime.Clock;
  readonly #random: runtime.Random;
  readonly #receivers = new Map<string, Receiver>();
  readonly #cut = new Set<string>();
  readonly #isOrdered: boolean;
  /** When the last message of each link arrives, by sender and recipient. */
  readonly #arrivals = new Map<string, number>();
  /** Messages that were sent. */
  sent = 0;

  /** Messages of a link arrive in any order, or as sent if `isOrdered`. */
  constructor(
    clock: runtime.Clock,
    random: runtime.Random,
    { isOrdered = false }: { isOrdered?: boolean } = {},
  ) {
    this.#clock = clock;
    this.#random = random;
    this.#isOrdered = isOrdered;
  }

  /** Connects a host, in place of one of its name. */
  join(name: string, receiver: Receiver): void {
    this.#receivers.set(name, receiver);
  }

  leave(name: string): void {
    this.#receivers.delete(name);
  }

  /** Cuts a host off from all others, or joins it again. */
  setCut(name: string, isCut: boolean): void {
    if (isCut) this.#cut.add(name);
    else this.#cut.delete(name);
  }

  isCut(name: string): boolean {
    return this.#cut.has(name);
  }

  /** Calls as one life of a host makes them. */
  callsOf(self: string): Pick<peers.Rpc, "ask" | "cast"> {
    const own = () => this.#receivers.get(self);
    return {
      cast: (to, notice) => {
        this.#carry(
          self,
          to,
          () => this.#receivers.get(to)?.hear(notice, self),
        );
      },
      ask: (to, question, { timeout }) =>
        new Promise((resolve, reject) => {
          const life = own();
          this.#clock.after(timeout, () => reject(new Error("no answer")));
          this.#carry(self, to, () => {
            const answered = this.#receivers.get(to)?.answer(question, self);
            if (answered === undefined) return;
            void Promise.resolve(answered).then((reply) =>
              this.#carry(to, self, () => {
                if (own() === life) resolve(reply);
              })
            );
          });
        }),
    };
  }

  #carry(from: string, to: string, deliver: () => void): void {
    this.sent++;
    if (this.#random.next() < LOSS) return;
    this.#clock.after(this.#delayOf(`${from} ${to}`), () => {
      if (!this.isCut(from) && !this.isCut(to)) deliver();
    });
  }

  #delayOf(link: string): number {
    const now = this.#clock.now();
    const drawn = now + this.#random.next() * WAY;
    if (!this.#isOrdered) return drawn - now;
    const arrival = Math.max(drawn, this.#arrivals.get(link) ?? 0);
    this.#arrivals.set(link, arrival);
    return arrival - now;
  }
}
