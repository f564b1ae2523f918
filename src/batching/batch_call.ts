/** Calls to endpoints that compute items.
 *
 * An answer names no call and is matched by its place on the connection, where a
 * faulty endpoint may send an earlier answer once more. The connection is used
 * again only if the answer is certainly that of its call: if all handles in it
 * are new. Otherwise the answer that is still due would be taken for that of the
 * next call.
 * @module */

import * as chunkLists from "../runtime/chunk_list.ts";
import * as exchanges from "../endpoint_calls/exchange.ts";
import type * as partialAnswers from "../endpoint_calls/partial_answers.ts";
import type * as protocols from "../gateway/protocol.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";
import type * as receivedHandles from "./received_handles.ts";
import type * as tasks from "./task.ts";

/** Maximum size of a response: a full call has some dozens of results. */
const MAX_RESPONSE_BYTES = 1024 * 1024;
/** Timeout of a call that releases results; results that are not released
 * expire by themselves. */
const RELEASE_TIMEOUT_MS = 1000;

/** Time for which an overdue call is kept: a sound endpoint may be silent for a
 * second or two, and then has to work off what waits there. */
const OVERDUE_MS = 3000;

/** Why a call gave no results. */
export type CallFailure =
  | "full"
  | "unreachable"
  | "withheld"
  | "broken"
  | "silent";

/** Outcome of a call. */
export type CallOutcome =
  | { type: "results"; results: readonly protocols.ItemResult[] }
  | { type: "failed"; cause: CallFailure };

/** Dependencies of calls. */
export interface CallOptions {
  readonly dispatcher: exchanges.Dispatcher;
  readonly clock: runtime.Clock;
  readonly protocol: protocols.GatewayProtocol;
  readonly logger: telemetry.Logger;
  readonly metrics: telemetry.Metrics;
  readonly partialAnswers: Pick<
    partialAnswers.PartialAnswers,
    "update" | "remove"
  >;
  readonly service: string;
  readonly receivedHandles: receivedHandles.ReceivedHandles;
  /** Called with the head of each response. */
  onHead?(head: protocols.ReplyHead): void;
  /** Whether the call may still be sent, asked once a connection is open. */
  maySend?(): boolean;
}

/** Timeout of a call, and what follows it. */
export interface CallTimeout {
  /** Milliseconds after which a call is overdue. */
  readonly timeout: number;
  /** Called when the call is overdue; returns whether it is kept, so that an
   * answer which comes later is used. Otherwise it is cancelled. */
  onOverdue?(): boolean;
}

/** Calls an endpoint to compute the tasks of an assignment; never rejects. */
export async function call(
  { worker, tasks }: tasks.Assignment,
  options: CallOptions & CallTimeout,
): Promise<CallOutcome> {
  const { protocol, clock } = options;
  const now = clock.now();
  const items = tasks.map((task) => ({
    request: task.request,
    stage: task.stage,
    itemIndex: task.itemIndex,
    remaining: Math.max(1, Math.round(task.expiresAt - now)),
    key: task.key,
    inputs: task.inputs,
  }));
  const outgoing = protocol.batchCall(worker.name, items);
  let outcome: CallOutcome = { type: "failed", cause: "broken" };
  const response = await exchange(worker.address, outgoing, {
    ...options,
    onWhole(whole) {
      outcome = outcomeOf(whole, { tasks, protocol });
      const origin = originOf(outcome, { worker, tasks }, options);
      if (origin === "foreign") outcome = { type: "failed", cause: "broken" };
      return origin === "own";
    },
  });
  return response.type === "broken"
    ? { type: "failed", cause: response.cause }
    : outcome;
}

function outcomeOf(
  { head, body }: WholeResponse,
  { tasks, protocol }: Pick<tasks.Assignment, "tasks"> & {
    readonly protocol: protocols.GatewayProtocol;
  },
): CallOutcome {
  if (head.isNotRun) return { type: "failed", cause: "full" };
  if (head.isMisdirected) return { type: "failed", cause: "unreachable" };
  const results = head.status === 200
    ? protocol.decodeItemResults(body)
    : undefined;
  if (results === undefined || results.length !== tasks.length) {
    return { type: "failed", cause: "broken" };
  }
  return { type: "results", results };
}

/** Records the handles in an outcome; returns the origin of its answer. */
function originOf(
  outcome: CallOutcome,
  { worker, tasks }: tasks.Assignment,
  { receivedHandles, metrics, logger, service }: CallOptions,
): receivedHandles.Origin {
  if (outcome.type === "failed") return "unknown";
  const received = outcome.results.flatMap((result, position) =>
    result.type === "made"
      ? [{ handle: result.handle, item: tasks[position] }]
      : []
  );
  const origin = receivedHandles.record(worker.id, received);
  if (origin === "foreign" || origin === "repeated") {
    metrics.count("pieces.repeated_answers", 1, { service });
    logger.warn(
      { endpoint: worker.id, service, origin },
      "Endpoint sent results a second time; later calls use new connections",
    );
  }
  return origin;
}

/** Releases results at the endpoint that holds them; resolves with whether the
 * endpoint has confirmed it. A failure is only logged, since results expire by
 * themselves. */
export async function release(
  address: string,
  handles: readonly string[],
  options: CallOptions,
): Promise<boolean> {
  const outgoing = options.protocol.releaseCall(handles);
  const timeout = RELEASE_TIMEOUT_MS;
  const response = await exchange(address, outgoing, { ...options, timeout });
  if (response.type === "whole" && response.head.status === 200) return true;
  const cause = response.type === "broken"
    ? response.cause
    : response.head.status;
  const count = handles.length;
  options.logger.debug(
    { address, count, cause },
    "Release of results was not confirmed; they expire by themselves",
  );
  return false;
}

interface WholeResponse {
  readonly type: "whole";
  readonly head: protocols.ReplyHead;
  readonly body: Buffer;
}

type CallResponse = WholeResponse | { type: "broken"; cause: CallFailure };

interface ExchangeOptions extends CallOptions, CallTimeout {
  /** Called with a whole response before the next call can use its connection;
   * returns whether it may. */
  onWhole?(response: WholeResponse): boolean;
}

/** Sends a call and buffers the complete response. */
function exchange(
  address: string,
  outgoing: protocols.EncodedCall,
  options: ExchangeOptions,
): Promise<CallResponse> {
  const { dispatcher, clock, protocol, timeout, maySend, onOverdue } = options;
  const url = `http://${address}`;
  return new Promise((settle) => {
    const chunks = chunkLists.ChunkList.create();
    let head: protocols.ReplyHead;
    const cancelTimer = clock.after(timeout, () => {
      // A call without a connection must not be sent later.
      const isKept = exchange.isStarted && (onOverdue?.() ?? false);
      if (!isKept) return exchange.break("silent");
      // The connection may be dead: other calls use new ones.
      dispatcher.recordBreak?.(url);
    });
    const resolve = (response: CallResponse) => {
      cancelTimer();
      chunks.clear();
      settle(response);
    };
    const limit = timeout + OVERDUE_MS;
    const exchange = exchanges.Exchange.start(outgoing, {
      dispatcher,
      clock,
      url,
      deadline: clock.now() + limit,
      idleTimeout: limit,
      maxBytes: MAX_RESPONSE_BYTES,
      partialAnswers: options.partialAnswers,
      maySend,
      receiver: {
        get heldBytes() {
          return chunks.heldBytes;
        },
        head(status, headers) {
          head = protocol.decodeReply(status, headers);
          options.onHead?.(head);
        },
        data: (chunk) => chunks.push(chunk),
        end() {
          const whole = { type: "whole" as const, head, body: chunks.take() };
          const isReusable = options.onWhole?.(whole) ?? true;
          if (!isReusable) dispatcher.renew?.(url);
          resolve(whole);
        },
        fail: ({ reason, outcome, excess }) => {
          if (excess !== undefined) recordExcess(address, excess, options);
          const isWithheld = outcome === "not-run" && maySend?.() === false;
          const cause = isWithheld ? "withheld" : causeOf(reason, outcome);
          resolve({ type: "broken", cause });
        },
      },
    });
  });
}

function recordExcess(
  address: string,
  excess: partialAnswers.Excess,
  { logger, metrics, service }: CallOptions,
): void {
  const { scope } = excess;
  metrics.count("gateway.oversized", 1, { service, scope });
  logger.warn(
    { address, service, ...excess },
    "Call to compute items ended, as its incomplete answer holds too many bytes",
  );
}

type Break = exchanges.ExchangeFailure;

function causeOf(
  reason: Break["reason"],
  outcome: Break["outcome"],
): CallFailure {
  if (outcome === "not-run") return "unreachable";
  return reason === "deadline" || reason === "silent" ? "silent" : "broken";
}
