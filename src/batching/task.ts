/** Pieces to be made, who makes them, and whose turn it is.
 * @module */

/** Milliseconds by which a rank lets a piece wait behind those of the rank
 * above: a few calls, so that the higher goes first where time is short and
 * the lower is not passed over for long. */
const RANK_DELAY = 400;

/** A piece to be made. */
export interface Task {
  readonly request: string;
  readonly stage: number;
  readonly itemIndex: number;
  readonly key?: string;
  readonly inputs?: readonly string[];
  /** About how large the result is. */
  readonly bytes: number;
  /** When the result is of no use any more. */
  readonly expiresAt: number;
  /** When it is wanted. */
  readonly dueAt: number;
  /** 0 is the highest. */
  readonly rank: number;
  /** Where most of what it works on or gives is. */
  readonly dataCentre?: string;
  /** Bytes that cross data centres when it is made elsewhere. */
  readonly transferBytes: number;
  readonly attempts: number;
  /** Whether others of its request and stage have been begun. */
  readonly isStageStarted?: boolean;
}

/** An endpoint that makes pieces. */
export interface Worker {
  /** One incarnation of it. */
  readonly id: string;
  /** What it calls itself, through all its incarnations. */
  readonly name: string;
  readonly address: string;
  readonly dataCentre: string;
}

/** A call to make. */
export interface Assignment {
  readonly worker: Worker;
  readonly tasks: readonly Task[];
}

/** The time that decides whose turn it is: the earlier goes first. */
export function virtualDeadline(
  { dueAt: wanted, rank }: Pick<Task, "dueAt" | "rank">,
): number {
  return wanted + rank * RANK_DELAY;
}

/** Bytes of the results of some pieces. */
export function totalBytes(works: readonly Task[]): number {
  return works.reduce((sum, { bytes }) => sum + bytes, 0);
}

/** Names the stage of a request that a piece belongs to. */
export function stageKey({ request, stage }: Pick<Task, "request" | "stage">) {
  return `${request}/${stage}`;
}
