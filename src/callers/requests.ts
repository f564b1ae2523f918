/** Routes of requests: pipelines and plain services.
 * @module */

import * as ask from "./request_parser.ts";
import * as body from "./body.ts";
import type * as catalogue from "../request/catalogue.ts";
import * as httpReply from "./http_reply.ts";
import type * as stageData from "../request/stage_data.ts";
import * as problem from "./problem.ts";
import type * as server from "./server.ts";
import * as tokens from "./tokens.ts";

const BODY_BYTES = 4 * 1024 * 1024;
/** Milliseconds in which a body must have come. */
const BODY_TIME = 10_000;

/** `POST /v1/pipelines/{pipeline}`. */
export async function runPipeline(
  options: server.Options,
  exchange: server.Exchange,
): Promise<void> {
  const { incoming, names: [name, ...more] } = exchange;
  const opened = open(options, exchange);
  demand(incoming.method === "POST" && more.length === 0);
  const target = options.catalogue.pipeline(name ?? "");
  if (target === undefined) {
    throw new problem.CallerError("unknown-pipeline", `No pipeline ${name}`);
  }
  const read = await opened.read(target);
  const call = ask.pipelineCallOf(read);
  const { stream = false } = call;
  opened.submit(target, { payload: { type: "pipeline", call }, stream });
}

/** Any method on `/v1/services/{service}/{path}`. */
export async function callService(
  options: server.Options,
  exchange: server.Exchange,
): Promise<void> {
  const { incoming, names: [name] } = exchange;
  const opened = open(options, exchange);
  const target = options.catalogue.service(name ?? "");
  if (target === undefined) {
    throw new problem.CallerError("unknown-service", `No service ${name}`);
  }
  const read = await opened.read(target);
  // The rest of the path goes on as it came, still encoded.
  const rest = /^\/v1\/services\/[^/?]*(.*)$/.exec(incoming.url!)![1];
  const path = rest.startsWith("/") ? rest : `/${rest}`;
  const call = ask.plainInputOf(incoming, { path, body: read });
  const payload: stageData.Payload = { type: "plain", call };
  opened.submit(target, { payload, stream: false });
}

/** What a caller asks for, and whether it wants the answer as a stream. */
interface Work {
  payload: stageData.Payload;
  stream: boolean;
}

/** A request whose caller and terms are known. */
interface Opened {
  read(target: catalogue.Target): Promise<Buffer>;
  submit(target: catalogue.Target, work: Work): void;
}

/** Checks who asks and on which terms. */
function open(options: server.Options, exchange: server.Exchange): Opened {
  const { clock, metrics, intake, abandon, settings } = options;
  const { incoming, response, draining } = exchange;
  const arrived = clock.now();
  metrics.count("request.arrived");
  const account = tokens.accountOf(incoming.headers, options.accounts)?.name;
  if (account === undefined) {
    throw new problem.CallerError("unauthorized", "The token names no account");
  }
  const terms = ask.metadataOf(incoming.headers);
  function read(target: catalogue.Target): Promise<Buffer> {
    const allowed = intake.timeBudget({ ...terms, account: account!, target });
    const { bodyBytes: bytes = BODY_BYTES } = settings.limits ?? {};
    const time = Math.min(BODY_TIME, allowed);
    return body.read(incoming, { clock, bytes, time });
  }
  function submit(target: catalogue.Target, work: Work): void {
    const { payload, stream: streaming } = work;
    const id = intake.nextId();
    const reply = new httpReply.HttpReply(response, {
      id,
      streaming,
      closing: draining,
    });
    response.once("close", () => {
      if (!response.writableFinished) abandon(id);
    });
    intake.submit(id, {
      ...terms,
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

function demand(holds: boolean): void {
  if (holds) return;
  throw new problem.CallerError("bad-request", "There is no such call");
}
