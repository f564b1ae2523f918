/** Which pieces of a request's stages can be made now, and what they give: an
 * immutable value, changed by steps.
 * @module */

import type * as configurations from "../configuration/mod.ts";

/** A stage with the results so far. */
export interface StageState {
  readonly stage: configurations.Stage;
  /** Handle of each piece; undefined until it is made. */
  readonly handles: readonly (string | undefined)[];
  /** Whether its pieces have been asked for. */
  readonly isRequested: boolean;
  /** Whether its results have been given up, since all have worked on them. */
  readonly isReleased: boolean;
}

/** Results that one service holds. */
export interface HeldResults {
  readonly service: string;
  readonly handles: readonly string[];
}

/** Pieces to ask for at once. */
export interface StageRequest {
  readonly stage: number;
  readonly service: string;
  readonly items: readonly number[];
  readonly bytes: number;
  /** Results that they need; undefined for stages that work on the key. */
  readonly inputs?: readonly string[];
  /** Bytes of all these; each piece fetches them by itself. */
  readonly inputBytes: number;
}

/** Progress of one request through its stages. */
export class Plan {
  readonly #stages: readonly StageState[];

  private constructor(stages: readonly StageState[]) {
    this.#stages = stages;
  }

  /** A plan with nothing made; `counts` says how many pieces each stage has,
   * 0 where it is left out. */
  static create(
    stages: readonly configurations.Stage[],
    counts: readonly number[],
  ): Plan {
    return new Plan(stages.map((stage, number) => ({
      stage,
      handles: new Array(counts[number] ?? 0).fill(undefined),
      isRequested: false,
      isReleased: false,
    })));
  }

  /** Whether every piece is made. */
  get isComplete(): boolean {
    return this.#stages.every(isMade);
  }

  /** Results that no other stage works on: the request itself needs them. */
  get outputs(): string[] {
    const followed = new Set(this.#stages.flatMap(({ stage }) => stage.after));
    return this.#stages
      .filter((_, number) => !followed.has(number))
      .flatMap(({ handles }) => handles as string[]);
  }

  /** Stages whose pieces can be made and have not been asked for. */
  get readyRequests(): StageRequest[] {
    return this.#stages.flatMap((state, stage) => {
      const {
        handles,
        isRequested: isAsked,
        stage: { service, after, bytes },
      } = state;
      const isReady = after.every((other) => isMade(this.#stages[other]));
      const pieces = missing(handles);
      if (isAsked || !isReady || pieces.length === 0) return [];
      const inputs = after.length === 0 ? undefined : this.#handlesOf(after);
      const inputBytes = after.reduce((sum, other) => {
        const { handles, stage } = this.#stages[other];
        return sum + handles.length * stage.bytes;
      }, 0);
      return [{ stage, service, items: pieces, bytes, inputs, inputBytes }];
    });
  }

  /** Results that somebody may still work on, by the service that holds
   * them. */
  get heldResults(): HeldResults[] {
    return this.#stages.flatMap((state) =>
      state.isReleased ? [] : holdingOf(state)
    );
  }

  /** Results that have been worked on by all stages that need them: their room
   * is wanted by others. */
  get consumedResults(): HeldResults[] {
    return this.#stages.flatMap((state, number) =>
      this.#isRead(number) && !state.isReleased ? holdingOf(state) : []
    );
  }

  /** Notes that what was `read` has been given up. */
  markConsumedReleased(): Plan {
    return new Plan(
      this.#stages.map((state, number) =>
        this.#isRead(number) ? { ...state, isReleased: true } : state
      ),
    );
  }

  /** Notes that the missing pieces of a stage have been asked for. */
  markRequested(stage: number): Plan {
    return this.#with(stage, (state) => ({ ...state, isRequested: true }));
  }

  /** Notes results; pieces that failed may be asked for again. */
  addResults(
    stage: number,
    results: readonly { piece: number; handle?: string }[],
  ): Plan {
    return this.#with(stage, (state) => {
      const handles = [...state.handles];
      for (const { piece, handle } of results) handles[piece] = handle;
      return { ...state, handles, isRequested: false };
    });
  }

  /** Forgets the results that stages have given: one of them is gone. */
  discardResults(stages: readonly number[]): Plan {
    return new Plan(
      this.#stages.map((state, number) =>
        stages.includes(number)
          ? {
            ...state,
            handles: state.handles.map(() => undefined),
            isReleased: false,
          }
          : state
      ),
    );
  }

  /** Number of pieces of each stage. */
  get itemCounts(): number[] {
    return this.#stages.map(({ handles }) => handles.length);
  }

  /** Stages that a stage works on. */
  dependenciesOf(stage: number): readonly number[] {
    return this.#stages[stage].stage.after;
  }

  /** All stages. */
  get stageIndexes(): number[] {
    return this.#stages.map((_, number) => number);
  }

  /** Whether all stages that work on a stage's results are made. */
  #isRead(number: number): boolean {
    const followers = this.#stages.filter(({ stage }) =>
      stage.after.includes(number)
    );
    return followers.length > 0 && followers.every(isMade);
  }

  #handlesOf(stages: readonly number[]): string[] {
    return stages.flatMap((number) => this.#stages[number].handles as string[]);
  }

  #with(stage: number, change: (state: StageState) => StageState): Plan {
    return new Plan(
      this.#stages.map((state, number) =>
        number === stage ? change(state) : state
      ),
    );
  }
}

function holdingOf({ stage: { service }, handles }: StageState): HeldResults[] {
  const held = handles.filter((handle) => handle !== undefined);
  return held.length > 0 ? [{ service, handles: held }] : [];
}

function isMade({ handles }: StageState): boolean {
  return handles.every((handle) => handle !== undefined);
}

function missing(handles: readonly (string | undefined)[]): number[] {
  return handles.flatMap((handle, piece) =>
    handle === undefined ? [piece] : []
  );
}
