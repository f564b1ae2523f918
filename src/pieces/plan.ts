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
  readonly isAsked: boolean;
  /** Whether its results have been given up, since all have worked on them. */
  readonly isRead: boolean;
}

/** Results that one service holds. */
export interface Holding {
  readonly service: string;
  readonly handles: readonly string[];
}

/** Pieces to ask for at once. */
export interface Round {
  readonly stage: number;
  readonly service: string;
  readonly pieces: readonly number[];
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
      isAsked: false,
      isRead: false,
    })));
  }

  /** Whether every piece is made. */
  get isDone(): boolean {
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
  get rounds(): Round[] {
    return this.#stages.flatMap((state, stage) => {
      const { handles, isAsked, stage: { service, after, bytes } } = state;
      const isReady = after.every((other) => isMade(this.#stages[other]));
      const pieces = missing(handles);
      if (isAsked || !isReady || pieces.length === 0) return [];
      const inputs = after.length === 0 ? undefined : this.#handlesOf(after);
      const inputBytes = after.reduce((sum, other) => {
        const { handles, stage } = this.#stages[other];
        return sum + handles.length * stage.bytes;
      }, 0);
      return [{ stage, service, pieces, bytes, inputs, inputBytes }];
    });
  }

  /** Results that somebody may still work on, by the service that holds
   * them. */
  get held(): Holding[] {
    return this.#stages.flatMap((state) =>
      state.isRead ? [] : holdingOf(state)
    );
  }

  /** Results that have been worked on by all stages that need them: their room
   * is wanted by others. */
  get read(): Holding[] {
    return this.#stages.flatMap((state, number) =>
      this.#isRead(number) && !state.isRead ? holdingOf(state) : []
    );
  }

  /** Notes that what was `read` has been given up. */
  giveUpRead(): Plan {
    return new Plan(
      this.#stages.map((state, number) =>
        this.#isRead(number) ? { ...state, isRead: true } : state
      ),
    );
  }

  /** Notes that the missing pieces of a stage have been asked for. */
  ask(stage: number): Plan {
    return this.#with(stage, (state) => ({ ...state, isAsked: true }));
  }

  /** Notes results; pieces that failed may be asked for again. */
  take(
    stage: number,
    results: readonly { piece: number; handle?: string }[],
  ): Plan {
    return this.#with(stage, (state) => {
      const handles = [...state.handles];
      for (const { piece, handle } of results) handles[piece] = handle;
      return { ...state, handles, isAsked: false };
    });
  }

  /** Forgets the results that stages have given: one of them is gone. */
  forget(stages: readonly number[]): Plan {
    return new Plan(
      this.#stages.map((state, number) =>
        stages.includes(number)
          ? {
            ...state,
            handles: state.handles.map(() => undefined),
            isRead: false,
          }
          : state
      ),
    );
  }

  /** Number of pieces of each stage. */
  get counts(): number[] {
    return this.#stages.map(({ handles }) => handles.length);
  }

  /** Stages that a stage works on. */
  inputsOf(stage: number): readonly number[] {
    return this.#stages[stage].stage.after;
  }

  /** All stages. */
  get numbers(): number[] {
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

function holdingOf({ stage: { service }, handles }: StageState): Holding[] {
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
