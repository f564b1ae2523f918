/** Has the pieces of one request made, stage by stage.
 * @module */

import type * as configurations from "../configuration/mod.ts";
import * as pieces from "../batching/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import type * as contexts from "./context.ts";
import type * as protocols from "./protocol.ts";

/** Part of the time for which results are kept in which what works on them is
 * wanted once they are there: work that can wait would else find them gone, and
 * have them made again. */
const KEPT = 0.4;

/** Times that pieces of one request are asked for again. */
const REPEATS = 3;

/** What a preparation is for. */
export interface StageExecutionOptions {
  readonly request: protocols.IncomingRequest;
  readonly route: configurations.Route;
  /** How urgent the pieces are at first; 0 is the highest. */
  readonly rank: number;
  /** When the request ends at the latest. */
  readonly deadline: number;
  /** When its answer is wanted. */
  readonly dueAt: number;
  /** Where the results are needed; that of the own host when absent. */
  readonly dataCentre?: string;
}

/** How it ended. */
export type StageExecutionResult =
  | { type: "made"; inputs: readonly string[] }
  | { type: "failed"; detail: string };

type Needs = Pick<
  contexts.Context,
  "clock" | "maker" | "dataCentre" | "fleetView" | "pool" | "protocol"
>;

/** Pieces of a stage that were asked for, and how many milliseconds it took. */
export interface RoundRecord {
  readonly service: string;
  readonly pieces: number;
  readonly ms: number;
}

/** What the forecast of one stage was made of, for the log. */
export interface StageForecastRecord {
  readonly service: string;
  readonly waitMs: number;
  readonly workMs: number;
  readonly workAgeMs?: number;
  /** Pieces ahead of the stage's own. */
  readonly ahead?: number;
  /** Pieces begun in a second. */
  readonly rate?: number;
}

/** When the stages are expected to be made, in milliseconds from now. */
export interface PipelineForecast {
  readonly finish: number;
  /** The same if nothing waited anywhere. */
  readonly uncontended: number;
  readonly stages: readonly StageForecastRecord[];
}

function noteOf(
  service: string,
  { wait, work, workAge, ahead, rate }: pieces.Turn,
): StageForecastRecord {
  return {
    service,
    waitMs: Math.round(wait),
    workMs: Math.round(work),
    workAgeMs: workAge && Math.round(workAge),
    ahead: ahead && Math.round(ahead),
    rate: rate && Math.round(rate),
  };
}

/** Pieces of a request on their way. */
export class StageExecution {
  readonly #needs: Needs;
  readonly #options: StageExecutionOptions;
  #plan: pieces.Plan;
  #repeats = 0;
  #isOver = false;
  /** When the answer is wanted, and how urgent that is. */
  #wanted: number;
  #rank: number;
  /** Each time that pieces of a stage were asked for, for the log. */
  readonly rounds: RoundRecord[] = [];
  readonly #stages: readonly Omit<pieces.forecast.StageForecast, "wait">[];
  /** Milliseconds of work behind each stage. */
  #tails: readonly number[];
  /** Cells that make the pieces, by service. */
  readonly #cells: Map<string, string>;

  private constructor(needs: Needs, options: StageExecutionOptions) {
    this.#needs = needs;
    this.#options = options;
    this.#wanted = options.dueAt;
    this.#rank = options.rank;
    const { route, request: ask } = options;
    this.#plan = pieces.Plan.create(route.stages, ask.itemCounts ?? []);
    const { itemCounts: counts } = this.#plan;
    const catalogue = needs.fleetView.catalogue();
    this.#stages = route.stages.map(({ after, service }, number) => {
      const traits = catalogue?.service(service)?.batching;
      const count = counts[number];
      const work = traits && pieces.forecast.callDuration(traits, count);
      return { after, work: work ?? 0 };
    });
    this.#tails = pieces.forecast.remainingTimes(this.#stages);
    const services = new Set(route.stages.map(({ service }) => service));
    this.#cells = new Map(
      [...services].map((each) => [each, this.#pickCell(each)]),
    );
  }

  static create(needs: Needs, options: StageExecutionOptions): StageExecution {
    return new StageExecution(needs, options);
  }

  /** Milliseconds that the stages take where nothing waits. */
  get uncontended(): number {
    return pieces.forecast.completionTime(this.#free);
  }

  /** Changes when the answer is wanted, and how urgent that is. */
  reschedule(at: number, rank: number): void {
    this.#wanted = at;
    this.#rank = rank;
  }

  /** Books the pieces of all stages; resolves with when they would be made. */
  async book(): Promise<PipelineForecast> {
    const { route, request: ask } = this.#options;
    const { itemCounts: counts } = this.#plan;
    const turns = await Promise.all(route.stages.map(({ service }, stage) => {
      if (counts[stage] === 0) return undefined;
      return this.#needs.maker.reserve({
        type: "book",
        ...this.#cellOf(service),
        request: ask.id,
        stage,
        pieces: counts[stage],
        slack: this.#slack(stage),
        rank: this.#rank,
      });
    }));
    const stages = this.#free.map(({ after, work }, number) => {
      const turn = turns[number];
      if (turn === undefined) return { after, work, wait: 0 };
      return { after, wait: turn.wait, work: Math.max(work, turn.work) };
    });
    this.#tails = pieces.forecast.remainingTimes(stages);
    return {
      finish: pieces.forecast.completionTime(stages),
      uncontended: this.uncontended,
      stages: turns.flatMap((turn, stage) =>
        turn === undefined ? [] : [noteOf(route.stages[stage].service, turn)]
      ),
    };
  }

  /** Makes what is missing; resolves once all is there or cannot be. */
  run(): Promise<StageExecutionResult> {
    return new Promise((resolve) => {
      const step = () => {
        if (this.#isOver) return;
        if (this.#plan.isComplete) {
          return resolve({ type: "made", inputs: this.#plan.outputs });
        }
        for (const round of this.#plan.readyRequests) {
          this.#plan = this.#plan.markRequested(round.stage);
          void this.#make(round).then((detail) => {
            if (detail === undefined) return step();
            resolve({ type: "failed", detail });
          });
        }
      };
      step();
    });
  }

  /** Forgets all results: one of them is gone, and nobody says which. */
  discardResults(): void {
    this.#plan = this.#plan.discardResults(this.#plan.stageIndexes);
  }

  /** Gives the results up; they have been read. */
  release(): void {
    this.#giveUp(this.#plan.heldResults);
  }

  /** Stops: nobody waits for it any more. */
  close(): void {
    if (this.#isOver) return;
    this.#isOver = true;
    this.release();
    if (this.#plan.isComplete) return;
    const { id } = this.#options.request;
    const services = this.#options.route.stages
      .filter((_, stage) => this.#plan.itemCounts[stage] > 0)
      .map(({ service }) => service);
    for (const service of new Set(services)) {
      this.#needs.maker.cancel(this.#cellOf(service), id);
    }
  }

  /** The stages where nothing waits. */
  get #free(): pieces.forecast.StageForecast[] {
    return this.#stages.map((stage) => ({ ...stage, wait: 0 }));
  }

  #giveUp(holdings: readonly pieces.HeldResults[]): void {
    for (const { service, handles } of holdings) {
      this.#needs.maker.release(this.#cellOf(service), handles);
    }
  }

  #pickCell(service: string): string {
    const { id: request } = this.#options.request;
    const dataCentre = this.#destination;
    return this.#needs.maker.selectPartition(service, { request, dataCentre });
  }

  #cellOf(service: string): pieces.partitions.PartitionName {
    return { service, cell: this.#cells.get(service)! };
  }

  /** Makes the pieces of a stage; resolves with why they cannot be. */
  async #make(round: pieces.StageRequest): Promise<string | undefined> {
    const { stage, service } = round;
    const { clock, maker } = this.#needs;
    const asked = clock.now();
    const results = await maker.compute(this.#question(round));
    const ms = Math.round(clock.now() - asked);
    this.rounds.push({ service, pieces: round.items.length, ms });
    const made = results.filter(({ handle }) => handle !== undefined);
    this.#plan = this.#plan.addResults(stage, made);
    if (this.#isOver) this.release();
    this.#giveUp(this.#plan.consumedResults);
    this.#plan = this.#plan.markConsumedReleased();
    const failures = results.flatMap(({ failure }) => failure ?? []);
    if (failures.length === 0) return undefined;
    const [failure] = failures;
    if (failures.includes("late")) return `stage ${stage}: late`;
    if (++this.#repeats > REPEATS) return `stage ${stage}: ${failure}`;
    if (failures.includes("unreachable")) {
      this.#cells.set(service, this.#pickCell(service));
    }
    if (failures.includes("gone")) {
      this.#plan = this.#plan.discardResults(this.#plan.dependenciesOf(stage));
    }
    return this.#left() > 0 ? undefined : `stage ${stage} (${service}): late`;
  }

  #question(
    { stage, service, items: pieces, bytes, inputs, inputBytes }:
      pieces.StageRequest,
  ): schema.MakeQuestion {
    const { request: ask } = this.#options;
    // Inputs are fetched by each piece, a result once: the larger part decides
    // where a piece is made.
    const isFed = inputs !== undefined && inputBytes > bytes;
    const dataCentre = isFed ? this.#placeOf(inputs) : this.#destination;
    const isFirst = inputs === undefined;
    return {
      type: "make",
      ...this.#cellOf(service),
      request: ask.id,
      stage,
      pieces: [...pieces],
      ...(isFirst ? { key: ask.itemKey ?? "" } : { inputs: [...inputs] }),
      bytes,
      moved: Math.max(bytes, inputBytes),
      remaining: Math.max(0, this.#left()),
      slack: Math.min(this.#slack(stage), this.#kept(stage)),
      rank: this.#rank,
      dataCentre,
    };
  }

  /** Data centre that the request itself will run in. */
  get #destination(): string {
    return this.#options.dataCentre ?? this.#needs.dataCentre;
  }

  /** Data centre that holds most of some results. */
  #placeOf(handles: readonly string[]): string {
    const { pool, protocol } = this.#needs;
    const counts = new Map<string, number>();
    for (const handle of handles) {
      const place = pool.dataCentreOf(protocol.holderOf(handle));
      if (place !== undefined) counts.set(place, (counts.get(place) ?? 0) + 1);
    }
    const [most] = [...counts].sort(([, a], [, b]) => b - a);
    return most?.[0] ?? this.#destination;
  }

  /** Milliseconds within which a stage's results are wanted, so that what
   * follows on them ends in time. */
  #slack(stage: number): number {
    return this.#wanted - this.#needs.clock.now() - this.#tails[stage];
  }

  /** Milliseconds within which a stage whose inputs are there is wanted. */
  #kept(stage: number): number {
    const { route } = this.#options;
    const catalogue = this.#needs.fleetView.catalogue();
    const times = route.stages[stage].after.map((other) => {
      const { service } = route.stages[other];
      return catalogue?.service(service)?.batching?.keepTime ?? Infinity;
    });
    return KEPT * Math.min(Infinity, ...times);
  }

  #left(): number {
    return this.#options.deadline - this.#needs.clock.now();
  }
}
