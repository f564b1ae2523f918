/** Progress of a request's stages: which items can be computed now and which
 * results they have given. Immutable.
 * @module */

import type * as configurations from "../configuration/mod.ts";

/** A stage and the results of its items so far. */
export interface StageState {
  readonly stage: configurations.Stage;
  /** Handle of each item's result; undefined until it is computed. */
  readonly handles: readonly (string | undefined)[];
  /** Whether its items have been requested. */
  readonly isRequested: boolean;
  /** Whether its results have been released, since all stages that depend on
   * them are complete. */
  readonly isReleased: boolean;
}

/** Results that the endpoints of one service hold. */
export interface HeldResults {
  readonly service: string;
  readonly handles: readonly string[];
}

/** The items of a stage that can be requested together. */
export interface StageRequest {
  readonly stage: number;
  readonly service: string;
  readonly items: readonly number[];
  readonly bytes: number;
  /** Results that they take as input; undefined for stages whose input is the
   * request's item key. */
  readonly inputs?: readonly string[];
  /** Total size of the inputs; each item fetches all of them. */
  readonly inputBytes: number;
}

/** Progress of one request through its stages. */
export class Plan {
  readonly #stages: readonly StageState[];

  private constructor(stages: readonly StageState[]) {
    this.#stages = stages;
  }

  /** A plan without results. `counts` gives the number of items of each stage,
   * 0 for a stage that is skipped. */
  static create(
    stages: readonly configurations.Stage[],
    counts: readonly number[],
  ): Plan {
    return new Plan(stages.map((stage, index) => ({
      stage,
      handles: new Array(counts[index] ?? 0).fill(undefined),
      isRequested: false,
      isReleased: false,
    })));
  }

  /** Whether all items are computed. */
  get isComplete(): boolean {
    return this.#stages.every(isStageComplete);
  }

  /** Results that no other stage takes as input: they are the inputs of the
   * request itself. */
  get outputs(): string[] {
    const consumed = new Set(this.#stages.flatMap(({ stage }) => stage.after));
    return this.#stages
      .filter((_, index) => !consumed.has(index))
      .flatMap(({ handles }) => handles as string[]);
  }

  /** Requests for the stages whose inputs are complete and that have not been
   * requested. */
  get readyRequests(): StageRequest[] {
    return this.#stages.flatMap((state, stage) => {
      const {
        handles,
        isRequested,
        stage: { service, after, bytes },
      } = state;
      const isReady = after.every((other) =>
        isStageComplete(this.#stages[other])
      );
      const items = missingItems(handles);
      if (isRequested || !isReady || items.length === 0) return [];
      const inputs = after.length === 0 ? undefined : this.#handlesOf(after);
      const inputBytes = after.reduce((sum, other) => {
        const { handles, stage } = this.#stages[other];
        return sum + handles.length * stage.bytes;
      }, 0);
      return [{ stage, service, items, bytes, inputs, inputBytes }];
    });
  }

  /** Results that have not been released, by service. */
  get heldResults(): HeldResults[] {
    return this.#stages.flatMap((state) =>
      state.isReleased ? [] : heldResultsOf(state)
    );
  }

  /** Results that no incomplete stage needs any more. They should be released,
   * since other requests need the memory. */
  get consumedResults(): HeldResults[] {
    return this.#stages.flatMap((state, index) =>
      this.#isConsumed(index) && !state.isReleased ? heldResultsOf(state) : []
    );
  }

  /** Marks the consumed results as released. */
  markConsumedReleased(): Plan {
    return new Plan(
      this.#stages.map((state, index) =>
        this.#isConsumed(index) ? { ...state, isReleased: true } : state
      ),
    );
  }

  /** Marks all results as released. */
  markReleased(): Plan {
    return new Plan(
      this.#stages.map((state) => ({ ...state, isReleased: true })),
    );
  }

  /** Marks the missing items of a stage as requested. */
  markRequested(stage: number): Plan {
    return this.#withStage(stage, (state) => ({ ...state, isRequested: true }));
  }

  /** Adds results; items without a result may be requested again. */
  addResults(
    stage: number,
    results: readonly { piece: number; handle?: string }[],
  ): Plan {
    return this.#withStage(stage, (state) => {
      const handles = [...state.handles];
      for (const { piece, handle } of results) handles[piece] = handle;
      const isReleased = state.isReleased && results.length === 0;
      return { ...state, handles, isRequested: false, isReleased };
    });
  }

  /** Discards the results of stages, of which at least one is lost. */
  discardResults(stages: readonly number[]): Plan {
    return new Plan(
      this.#stages.map((state, index) =>
        stages.includes(index)
          ? {
            ...state,
            handles: state.handles.map(() => undefined),
            isReleased: false,
          }
          : state
      ),
    );
  }

  /** Number of items of each stage. */
  get itemCounts(): number[] {
    return this.#stages.map(({ handles }) => handles.length);
  }

  /** Stages whose results a stage takes as input. */
  dependenciesOf(stage: number): readonly number[] {
    return this.#stages[stage].stage.after;
  }

  /** Indexes of all stages. */
  get stageIndexes(): number[] {
    return this.#stages.map((_, index) => index);
  }

  /** Whether all stages that take a stage's results as input are complete. */
  #isConsumed(index: number): boolean {
    const dependents = this.#stages.filter(({ stage }) =>
      stage.after.includes(index)
    );
    return dependents.length > 0 && dependents.every(isStageComplete);
  }

  #handlesOf(stages: readonly number[]): string[] {
    return stages.flatMap((index) => this.#stages[index].handles as string[]);
  }

  #withStage(stage: number, change: (state: StageState) => StageState): Plan {
    return new Plan(
      this.#stages.map((state, index) =>
        index === stage ? change(state) : state
      ),
    );
  }
}

function heldResultsOf(
  { stage: { service }, handles }: StageState,
): HeldResults[] {
  const held = handles.filter((handle) => handle !== undefined);
  return held.length > 0 ? [{ service, handles: held }] : [];
}

function isStageComplete({ handles }: StageState): boolean {
  return handles.every((handle) => handle !== undefined);
}

function missingItems(handles: readonly (string | undefined)[]): number[] {
  return handles.flatMap((handle, index) =>
    handle === undefined ? [index] : []
  );
}
