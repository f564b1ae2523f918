/** What must hold at each moment of a run, whatever fails.
 * @module */

import * as zlib from "node:zlib";
import type * as log from "../../src/control/log/mod.ts";

/** State of the machine under test: a digest of all commands so far. */
export interface Digest {
  readonly count: number;
  readonly hash: number;
}

/** Something that must always hold does not. */
export class Violation extends Error {
  override readonly name = "Violation";
}

interface Committed {
  readonly id: string;
  /** Term of the leader that committed it. */
  readonly term: number;
  readonly digest: Digest;
}

interface Content {
  readonly text: string;
  readonly before?: number;
}

/** Compares what replicas do with one another and with what clients heard. */
export class Checker {
  readonly #leaders = new Map<number, string>();
  readonly #committed = new Map<number, Committed>();
  readonly #indexes = new Map<string, number>();
  readonly #contents = new Map<string, Content>();
  readonly #matched = new WeakSet<object>();
  readonly #acknowledged = new Map<string, number>();
  #newest = 0;
  #reads = 0;
  readonly #refused = new Set<string>();
  /** Snapshots that a state machine was restored from. */
  restored = 0;
  #last = 0;
  #lastAcknowledged = 0;

  /** Commands that clients were told are committed. */
  get acknowledged(): number {
    return this.#acknowledged.size;
  }

  /** Index of the newest command that was acknowledged. */
  get newest(): number {
    return this.#newest;
  }

  /** Reads that were confirmed. */
  get reads(): number {
    return this.#reads;
  }

  /** Checks a confirmed read against what was acknowledged before it. */
  read(least: number, index: number): void {
    this.#reads++;
    if (index >= least) return;
    throw new Violation(`a read was told ${index}, ${least} was acknowledged`);
  }

  /** Commands committed, whether or not their clients know. */
  get committed(): number {
    return this.#committed.size;
  }

  /** Terms that had a leader. */
  get terms(): number {
    return this.#leaders.size;
  }

  /** State machine whose every step is compared with the other replicas';
   * `term` is that of its replica. */
  machine(term: () => number): log.StateMachine<Digest, number> {
    return {
      empty: { count: 0, hash: 0 },
      apply: (state, command, index) => {
        const hash = zlib.crc32(command.id, state.hash);
        const digest = { count: state.count + 1, hash };
        this.#apply(index, { id: command.id, term: term(), digest });
        return { state: digest, reply: index };
      },
      toJSON: (state) => ({ ...state, filler: "x".repeat(300) }),
      fromJSON: (json) => {
        const { count, hash } = json as Digest;
        this.restored++;
        return { count, hash };
      },
    };
  }

  /** Election safety and leader completeness. */
  lead(runner: log.Runner<Digest, number>): void {
    const { id, term, replica } = runner;
    const other = this.#leaders.get(term);
    if (other !== undefined && other !== id) {
      throw new Violation(`${other} and ${id} both lead in term ${term}`);
    }
    this.#leaders.set(term, id);
    const { log } = replica.state;
    for (const [index, committed] of this.#committed) {
      // A leader that is behind the times may lack what was committed since.
      if (index <= log.base.index || committed.term >= term) continue;
      const { id: command } = committed;
      if (log.at(index)?.command?.id === command) continue;
      throw new Violation(
        `${id} leads in term ${term} without ${command}`,
      );
    }
  }

  /** Log matching: the same position has the same past everywhere. */
  match(runner: log.Runner<Digest, number>, from = 0): void {
    const { log } = runner.replica.state;
    if (from > 0 && this.#matched.has(log)) return;
    this.#matched.add(log);
    for (const entry of log.slice(from, log.last.index)) {
      const { index, term, command, members } = entry;
      const key = `${index}/${term}`;
      const text = command?.id ?? JSON.stringify(members ?? null);
      const before = log.term(index - 1);
      const known = this.#contents.get(key);
      if (known === undefined) {
        this.#contents.set(key, { text, before });
      } else if (known.text !== text || known.before !== before) {
        throw new Violation(`${runner.id} has another entry at ${key}`);
      }
    }
  }

  /** Lease exclusivity, and reads that miss nothing acknowledged. */
  leases(runners: readonly log.Runner<Digest, number>[]): void {
    const holders = runners.filter((runner) => runner.leaseHeld());
    if (holders.length > 1) {
      const names = holders.map(({ id }) => id).join(" and ");
      throw new Violation(`${names} hold the lease at once`);
    }
    for (const runner of holders) {
      const { commit, termStart: opened } = runner.replica.state;
      if (commit < opened || runner.index >= this.#lastAcknowledged) continue;
      throw new Violation(`${runner.id} reads without what was acknowledged`);
    }
  }

  /** A client is told that its command stands at `index`. */
  acknowledge(id: string, index: number): void {
    this.#acknowledged.set(id, index);
    this.#newest = Math.max(this.#newest, index);
    this.#lastAcknowledged = Math.max(this.#lastAcknowledged, index);
    if (this.#committed.get(index)?.id !== id) {
      throw new Violation(`${id} was acknowledged and is not at ${index}`);
    }
  }

  /** A client is told that its command has no effect. */
  refuse(id: string): void {
    this.#refused.add(id);
    if (this.#indexes.has(id)) throw new Violation(`${id} was refused and ran`);
  }

  /** After all has healed, each replica has all that was committed. */
  finish(runners: readonly log.Runner<Digest, number>[]): void {
    for (const runner of runners) {
      this.match(runner);
      const last = this.#committed.get(this.#last);
      const { count, hash } = runner.state;
      if (last && (hash !== last.digest.hash || count !== last.digest.count)) {
        throw new Violation(`${runner.id} ends in another state`);
      }
    }
    for (const [id, index] of this.#acknowledged) {
      if (this.#indexes.get(id) === index) continue;
      throw new Violation(`${id} was acknowledged and is lost`);
    }
  }

  #apply(index: number, committed: Committed): void {
    const { id, digest } = committed;
    const known = this.#committed.get(index);
    if (known) {
      if (known.id === id && known.digest.hash === digest.hash) return;
      throw new Violation(`${id} and ${known.id} are both applied at ${index}`);
    }
    if (this.#indexes.has(id)) throw new Violation(`${id} is applied twice`);
    if (this.#refused.has(id)) throw new Violation(`${id} was refused and ran`);
    if (index < this.#last) throw new Violation(`${id} comes late at ${index}`);
    // The leader is the first to apply what it has committed.
    this.#committed.set(index, committed);
    this.#indexes.set(id, index);
    this.#last = index;
  }
}
