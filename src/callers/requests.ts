/** Routes for requests to pipelines and plain services.
 * @module */

import * as requestParser from "./request_parser.ts";
import * as body from "./body.ts";
import type * as catalogue from "../request/catalogue.ts";
import * as httpReply from "./http_reply.ts";
import type * as stageData from "../request/stage_data.ts";
import * as problem from "./problem.ts";
import type * as server from "./server.ts";
import * as tokens from "./tokens.ts";

const DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;
/** Time within which a body must have been received. */
const BODY_TIMEOUT_MS = 10_000;

/** Handles `POST /v1/pipelines/{pipeline}`. */
export async function runPipeline(
  options: server.Options,
  exchange: server.Exchange,
): Promise<void> {
  const { incoming, names: [name, ...more] } = exchange;
  const opened = openRequest(options, exchange);
  requireRoute(incoming.method === "POST" && more.length === 0);
  const target = options.catalogue.pipeline(name ?? "");
  if (target === undefined) {
    throw new problem.CallerError("unknown-pipeline", `No pipeline ${name}`);
  }
  const read = await opened.read(target);
  const call = requestParser.pipelineCallOf(read);
  const { stream = false } = call;
  opened.submit(target, { payload: { type: "pipeline", call }, stream });
}

/** Handles any method on `/v1/services/{service}/{path}`. */
export async function callService(
  options: server.Options,
  exchange: server.Exchange,
): Promise<void> {
  const { incoming, names: [name] } = exchange;
  const opened = openRequest(options, exchange);
  const target = options.catalogue.service(name ?? "");
  if (target === undefined) {
    throw new problem.CallerError("unknown-service", `No service ${name}`);
  }
  const read = await opened.read(target);
  // The rest of the path is forwarded unchanged, still encoded.
  const rest = /^\/v1\/services\/[^/?]*(.*)$/.exec(incoming.url!)![1];
  const path = rest.startsWith("/") ? rest : `/${rest}`;
  const call = requestParser.plainInputOf(incoming, { path, body: read });
  const payload: stageData.Payload = { type: "plain", call };
  opened.submit(target, { payload, stream: false });
}

/** Payload of a request, and whether the answer is streamed. */
interface CallPayload {
  payload: stageData.Payload;
  stream: boolean;
}

/** A request whose account and metadata are validated. */
interface OpenedRequest {
  read(target: catalogue.Target): Promise<Buffer>;
  submit(target: catalogue.Target, call: CallPayload): void;
}

/** Authenticates the caller and parses the request's metadata. */
function openRequest(
  options: server.Options,
  exchange: server.Exchange,
): OpenedRequest {
  const { clock, metrics, log, intake, abandon, settings } = options;
  const { incoming, response, connection, draining } = exchange;
  const arrived = clock.now();
  metrics.count("request.arrived");
  const account = tokens.accountOf(incoming.headers, options.accounts)?.name;
  if (account === undefined) {
    throw new problem.CallerError("unauthorized", "The token names no account");
  }
  const metadata = requestParser.metadataOf(incoming.headers);
  function read(target: catalogue.Target): Promise<Buffer> {
    const timeBudget = intake.timeBudget({
      ...metadata,
      account: account!,
      target,
    });
    const { bodyBytes: bytes = DEFAULT_MAX_BODY_BYTES } = settings.limits ?? {};
    const time = Math.min(BODY_TIMEOUT_MS, timeBudget);
    return body.read(incoming, { clock, bytes, time });
  }
  function submit(target: catalogue.Target, call: CallPayload): void {
    const { payload, stream: streaming } = call;
    const id = intake.nextId();
    const reply = new httpReply.HttpReply(response, {
      id,
      streaming,
      closing: ({ isNeeded }) =>
        connection.announcesClose(incoming, isNeeded || draining()),
      isLast: () => connection.isLast(incoming),
      onUndeliverable() {
        metrics.count("request.undelivered");
        log.info(
          { request: id },
          "answer without an end refused; a request is behind it",
        );
      },
    });
    response.once("close", () => {
      if (!response.writableFinished) abandon(id);
    });
    intake.submit(id, {
      ...metadata,
      account: account!,
      target,
      payload,
      arrived,
      streaming,
      reply,
    });
  }
  return { read, submit };
}

function requireRoute(holds: boolean): void {
  if (holds) return;
  throw new problem.CallerError("bad-request", "There is no such call");
}
