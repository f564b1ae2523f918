/** Calls to an endpoint that makes pieces.
 * @module */

import type * as undici from "undici";
import * as endpointCalls from "../endpoint_calls/exchange.ts";
import type * as protocols from "../gateway/protocol.ts";
import type * as runtime from "../runtime/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";
import type * as works from "./task.ts";

/** Bytes of the largest answer: a full call has some dozens of results. */
const MOST_BYTES = 1024 * 1024;
/** Milliseconds in which results are given up; else they end by themselves. */
const RELEASE_TIMEOUT = 1000;

/** Why a call gave no results. */
export type CallFailure = "full" | "unreachable" | "broken" | "silent";

/** What a call gave. */
export type CallOutcome =
  | { type: "results"; results: readonly protocols.ItemResult[] }
  | { type: "failed"; cause: CallFailure };

/** What calls need. */
export interface CallOptions {
  readonly dispatcher: undici.Dispatcher;
  readonly clock: runtime.Clock;
  readonly protocol: protocols.GatewayProtocol;
  readonly logger: telemetry.Logger;
  /** Hears the head of each answer. */
  onHead?(head: protocols.ReplyHead): void;
}

/** Asks an endpoint for the pieces of an assignment; never rejects. */
export async function call(
  { worker, tasks: works }: works.Assignment,
  options: CallOptions & { readonly patience: number },
): Promise<CallOutcome> {
  const { protocol, clock, patience } = options;
  const now = clock.now();
  const orders = works.map((work) => ({
    request: work.request,
    stage: work.stage,
    itemIndex: work.itemIndex,
    remaining: Math.max(1, Math.round(work.expiresAt - now)),
    key: work.key,
    inputs: work.inputs,
  }));
  const outgoing = protocol.batchCall(worker.name, orders);
  const whole = await exchange(worker.address, outgoing, {
    ...options,
    timeout: patience,
  });
  if (whole.type === "broken") return { type: "failed", cause: whole.cause };
  const { head, body } = whole;
  if (head.isNotRun) return { type: "failed", cause: "full" };
  if (head.isMisdirected) return { type: "failed", cause: "unreachable" };
  const results = head.status === 200
    ? protocol.decodeItemResults(body)
    : undefined;
  if (results === undefined || results.length !== works.length) {
    return { type: "failed", cause: "broken" };
  }
  return { type: "results", results };
}

/** Gives results up at their maker; resolves with whether it has heard. A
 * failure is only logged: results end by themselves. */
export async function release(
  address: string,
  handles: readonly string[],
  options: CallOptions,
): Promise<boolean> {
  const outgoing = options.protocol.releaseCall(handles);
  const timeout = RELEASE_TIMEOUT;
  const whole = await exchange(address, outgoing, { ...options, timeout });
  if (whole.type === "whole" && whole.head.status === 200) return true;
  const cause = whole.type === "broken" ? whole.cause : whole.head.status;
  const count = handles.length;
  options.logger.debug({ address, count, cause }, "Results not given up");
  return false;
}

type Whole =
  | { type: "whole"; head: protocols.ReplyHead; body: Buffer }
  | { type: "broken"; cause: CallFailure };

/** One exchange with a whole answer. */
function exchange(
  address: string,
  outgoing: protocols.OutgoingCall,
  options: CallOptions & { timeout: number },
): Promise<Whole> {
  const { dispatcher, clock, protocol, timeout } = options;
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let head: protocols.ReplyHead;
    endpointCalls.Exchange.start(outgoing, {
      dispatcher,
      clock,
      url: `http://${address}`,
      deadline: clock.now() + timeout,
      silence: timeout,
      mostBytes: MOST_BYTES,
      receiver: {
        head(status, headers) {
          head = protocol.decodeReply(status, headers);
          options.onHead?.(head);
        },
        data: (part) => void parts.push(part),
        end: () => resolve({ type: "whole", head, body: Buffer.concat(parts) }),
        fail: ({ reason, outcome }) =>
          resolve({ type: "broken", cause: causeOf(reason, outcome) }),
      },
    });
  });
}

type Break = endpointCalls.Break;

function causeOf(
  reason: Break["reason"],
  outcome: Break["outcome"],
): CallFailure {
  if (outcome === "not-run") return "unreachable";
  return reason === "deadline" || reason === "silent" ? "silent" : "broken";
}
