/** Exchanges of tests, and what became of them.
 * @module */

import * as runtime from "../runtime/mod.ts";
import * as exchanges from "./exchange.ts";

/** Milliseconds within which each exchange ends. */
const DEADLINE_MS = 5000;

/** A complete answer, or why there is none. */
export type Result =
  & { readonly body: string }
  & (Omit<exchanges.Ending, "framing"> | exchanges.ExchangeFailure);

/** Sends a request with a body of `size` bytes to an endpoint, given by its base URL;
 * resolves with what became of it, and the part of the answer that was received. */
export function send(
  dispatcher: exchanges.Dispatcher,
  { url, size = 0 }: { readonly url: string; readonly size?: number },
): Promise<Result> {
  const { systemClock: clock } = runtime;
  const outgoing = size === 0
    ? { method: "GET", path: "/", headers: {} }
    : { method: "POST", path: "/", headers: {}, body: Buffer.alloc(size, "x") };
  return new Promise((resolve) => {
    let body = "";
    exchanges.Exchange.start(outgoing, {
      dispatcher,
      clock,
      url,
      deadline: clock.now() + DEADLINE_MS,
      idleTimeout: DEADLINE_MS,
      maxBytes: 1000,
      receiver: {
        head() {},
        data: (part) => void (body += part),
        end: ({ framing: _, ...ending }) => resolve({ body, ...ending }),
        fail: (failure) => resolve({ body, ...failure }),
      },
    });
  });
}
