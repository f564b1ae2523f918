/** Operators who edit the table at once, resend, and race each other.
 * @module */

import * as crypto from "node:crypto";
import type * as runtime from "../../src/runtime/mod.ts";
import type * as table from "../../src/schema/table_types.ts";
import type * as operator from "./operator.ts";

/** An edit that was accepted, and the revision it was given. */
export interface Accepted {
  operation: string;
  row: string;
  value: number;
  revision: number;
}

/** What the editors saw. */
export interface Outcome {
  accepted: readonly Accepted[];
  /** Resends of accepted edits that got another answer than the first. */
  changedAnswers: number;
  /** Races at one version that did not have exactly one winner. */
  unfairRaces: number;
  /** Longest time between two accepted edits, in milliseconds. */
  longestGap: number;
  /** Milliseconds that each edit took to be accepted, in order. */
  latencies: readonly number[];
}

/** What the editors need. */
export interface Options {
  operators: readonly operator.Operator[];
  /** Name of the operator whose token they use. */
  actor: string;
  /** Edits to get accepted at least, over all editors. */
  edits: number;
  /** Asked after each edit past these: whether more are wanted. */
  more(): boolean;
  /** Milliseconds between two edits of one editor; none when absent. */
  pace?: number;
  /** Editors at work at once; each has rows of its own. */
  editors: number;
  /** Share of accepted edits that are sent again. */
  resends: number;
  /** Share of edits that two operators race for. */
  races: number;
  random: runtime.Random;
  clock: runtime.Clock;
}

/** Milliseconds between two tries of one edit. */
const PAUSE = 50;

/** Tries of one edit before the run is given up. */
const MOST_TRIES = 1_200;

/** Runs the editors until enough edits are accepted. */
export async function run(options: Options): Promise<Outcome> {
  const record = new Tally();
  const share = Math.ceil(options.edits / options.editors);
  const editors = Array.from(
    { length: options.editors },
    (_, pos) => new Editor(`account/editor-${pos}`, options, record).run(share),
  );
  await Promise.all(editors);
  return record;
}

class Tally implements Outcome {
  readonly accepted: Accepted[] = [];
  readonly latencies: number[] = [];
  changedAnswers = 0;
  unfairRaces = 0;
  longestGap = 0;
  #last: number | undefined;

  /** Notes an accepted edit at the time `now`. */
  accept(accepted: Accepted, times: { started: number; now: number }): void {
    this.accepted.push(accepted);
    this.latencies.push(times.now - times.started);
    const gap = times.now - (this.#last ?? times.now);
    this.longestGap = Math.max(this.longestGap, gap);
    this.#last = times.now;
  }
}

class Editor {
  readonly #row: string;
  readonly #options: Options;
  readonly #record: Tally;
  #version = 0;
  #value = 0;

  constructor(row: string, options: Options, record: Tally) {
    this.#row = row;
    this.#options = options;
    this.#record = record;
  }

  async run(edits: number): Promise<void> {
    for (let count = 0; count < edits || this.#options.more(); count++) {
      const racing = this.#options.random.next() < this.#options.races;
      if (racing) await this.#race();
      else await this.#edit();
      const { pace } = this.#options;
      if (pace !== undefined) await this.#pause(pace);
    }
  }

  async #edit(): Promise<void> {
    const edit = this.#next();
    const started = this.#options.clock.now();
    const answer = await this.#insist(edit);
    if (answer.type !== "accepted") {
      throw new Error(`Edit ${edit.operation} met a conflict without a rival`);
    }
    this.#accept(edit, { revision: answer.revision, started });
    await this.#resend(edit, answer.revision);
  }

  async #race(): Promise<void> {
    const edits = [this.#next(), this.#next()];
    const started = this.#options.clock.now();
    const answers = await Promise.all(edits.map((edit) => this.#insist(edit)));
    const winners = answers.filter(({ type }) => type === "accepted").length;
    if (winners !== 1) this.#record.unfairRaces++;
    answers.forEach((answer, pos) => {
      if (answer.type !== "accepted") return;
      this.#accept(edits[pos], { revision: answer.revision, started });
    });
  }

  #next(): table.Edit {
    this.#value++;
    return {
      operation: crypto.randomUUID(),
      actor: this.#options.actor,
      changes: [
        {
          row: this.#row,
          column: "weight",
          version: this.#version,
          value: this.#value,
        },
      ],
    };
  }

  /** Sends the edit to one host after another until its fate is known. */
  async #insist(edit: table.Edit): Promise<operator.EditAnswer> {
    for (let tries = 0; tries < MOST_TRIES; tries++) {
      const answer = await this.#pick().edit(edit);
      if (answer.type === "accepted" || answer.type === "conflict") {
        return answer;
      }
      if (answer.type === "rejected") throw new Error(answer.detail);
      await this.#pause(PAUSE);
    }
    throw new Error(`Edit ${edit.operation} was never answered`);
  }

  async #resend(edit: table.Edit, revision: number): Promise<void> {
    if (this.#options.random.next() >= this.#options.resends) return;
    const answer = await this.#insist(edit);
    const same = answer.type === "accepted" && answer.revision === revision;
    if (!same) this.#record.changedAnswers++;
  }

  #accept(
    edit: table.Edit,
    { revision, started }: { revision: number; started: number },
  ): void {
    const [{ row, value }] = edit.changes;
    this.#version = revision;
    this.#record.accept(
      { operation: edit.operation, row, value: Number(value), revision },
      { started, now: this.#options.clock.now() },
    );
  }

  #pick(): operator.Operator {
    const { operators, random } = this.#options;
    return operators[random.below(operators.length)];
  }

  #pause(time: number): Promise<void> {
    return new Promise((resolve) => {
      this.#options.clock.after(time, resolve);
    });
  }
}
