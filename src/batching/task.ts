/** Tasks (items to compute), the endpoints that compute them, and the order in
 * which tasks run.
 * @module */

/** Delay of the virtual deadline per rank: a few calls, so that higher ranks
 * run first when time is short and lower ones do not starve. */
const RANK_DELAY_MS = 400;

/** An item to compute. */
export interface Task {
  readonly request: string;
  readonly stage: number;
  readonly itemIndex: number;
  readonly key?: string;
  readonly inputs?: readonly string[];
  /** Approximate size of the result. */
  readonly bytes: number;
  /** Hard deadline: the time after which the result is useless. */
  readonly expiresAt: number;
  /** Soft deadline: the time by which the result is needed. */
  readonly dueAt: number;
  /** Priority; 0 is the highest. */
  readonly rank: number;
  /** Data centre of its inputs or of the consumer of its result, whichever is
   * the larger transfer. */
  readonly dataCentre?: string;
  /** Bytes that cross data centres if it runs elsewhere. */
  readonly transferBytes: number;
  readonly attempts: number;
  /** Whether other tasks of its request and stage have started. */
  readonly isStageStarted?: boolean;
}

/** An endpoint that computes items. */
export interface Worker {
  /** Identifies one incarnation of the endpoint. */
  readonly id: string;
  /** Name of the endpoint, the same for all its incarnations. */
  readonly name: string;
  readonly address: string;
  readonly dataCentre: string;
}

/** A call to make, with the tasks in it. */
export interface Assignment {
  readonly worker: Worker;
  readonly tasks: readonly Task[];
}

/** Sort key of tasks, in ascending order: the time at which a task is due, plus
 * a delay for its rank. */
export function virtualDeadline(
  { dueAt, rank }: Pick<Task, "dueAt" | "rank">,
): number {
  return dueAt + rank * RANK_DELAY_MS;
}

/** Total size of the results of several tasks. */
export function totalBytes(tasks: readonly Task[]): number {
  return tasks.reduce((sum, { bytes }) => sum + bytes, 0);
}

/** Key of the stage of a request that a task belongs to. */
export function stageKey({ request, stage }: Pick<Task, "request" | "stage">) {
  return `${request}/${stage}`;
}
