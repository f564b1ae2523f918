/** Routes for announcements and leaves of endpoints, on the callers' port.
 * @module */

import * as requestParser from "./request_parser.ts";
import * as body from "./body.ts";
import * as endpoint from "../schema/endpoint_validators.ts";
import type * as endpointTypes from "../schema/endpoint_types.ts";
import * as httpReply from "./http_reply.ts";
import * as problem from "./problem.ts";
import type * as request from "../request/mod.ts";
import type * as server from "./server.ts";
import * as tokens from "./tokens.ts";

const ENDPOINT_ID = /^[a-z0-9][a-z0-9.-]{0,63}$/;
const DIGITS = /^[0-9]+$/;
const MAX_ANNOUNCEMENT_BYTES = 64 * 1024;
/** Time within which an announcement must have been received. */
const BODY_TIMEOUT_MS = 5000;

/** Handles `PUT` and `DELETE /v1/endpoints/{id}`. */
export async function notice(
  options: server.Options,
  exchange: server.Exchange,
): Promise<void> {
  const { incoming, response, names } = exchange;
  authorize(options, exchange);
  const [id = ""] = names;
  if (names.length !== 1 || !ENDPOINT_ID.test(id)) {
    throw new problem.CallerError("bad-request", "The endpoint id is no name");
  }
  const read = noticeReaders[incoming.method ?? ""];
  if (read === undefined || options.notices === undefined) {
    throw new problem.CallerError("bad-request", "There is no such call");
  }
  const result = await options.notices(await read(id, options, exchange));
  if (result.type === "rejected") {
    options.metrics.count("endpoint.rejected");
    throw new problem.CallerError("bad-request", result.detail);
  }
  httpReply.send(response, {
    status: 200,
    headers: { "content-type": "application/json" },
    body: JSON.stringify({ lease: result.lease }),
  });
}

type NoticeReader = (
  id: string,
  options: server.Options,
  exchange: server.Exchange,
) => Promise<request.Notice>;

const noticeReaders: Readonly<Record<string, NoticeReader>> = {
  async PUT(id, { clock }, { incoming }) {
    const bounds = {
      clock,
      bytes: MAX_ANNOUNCEMENT_BYTES,
      time: BODY_TIMEOUT_MS,
    };
    const read = await body.read(incoming, bounds);
    const announcement = requestParser.parse<endpointTypes.Announcement>(
      read,
      endpoint.validate,
    );
    return { type: "announce", endpoint: id, announcement };
  },
  DELETE(id, _options, { incoming }) {
    incoming.resume();
    const incarnation = incarnationOf(incoming.url ?? "");
    return Promise.resolve({ type: "leave", endpoint: id, incarnation });
  },
};

/** Incarnation of the endpoint that sent a `DELETE`; undefined when the URL
 * names none. */
function incarnationOf(url: string): number | undefined {
  const { searchParams } = new URL(url, "http://host");
  const text = searchParams.get("incarnation");
  if (text === null) return undefined;
  const incarnation = Number(text);
  if (DIGITS.test(text) && Number.isSafeInteger(incarnation)) {
    return incarnation;
  }
  throw new problem.CallerError(
    "bad-request",
    "The incarnation is no whole number",
  );
}

function authorize(
  { endpointToken }: server.Options,
  { incoming }: server.Exchange,
): void {
  const token = tokens.bearerOf(incoming.headers);
  const isAuthorized = token !== undefined && endpointToken !== undefined &&
    tokens.sameToken(token, endpointToken);
  if (isAuthorized) return;
  throw new problem.CallerError("unauthorized", "The token is no endpoint's");
}
