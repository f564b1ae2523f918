/** Handlers of the operators' API, by path and method.
 * @module */

import type * as http from "node:http";
import type * as runtime from "../runtime/mod.ts";
import * as check from "../schema/check.ts";
import type * as schema from "../schema/table_types.ts";
import * as validators from "../schema/table_validators.ts";
import type * as telemetry from "../telemetry/mod.ts";
import type * as access from "./access.ts";
import type * as authentication from "./authentication.ts";
import * as body from "./body.ts";
import * as problem from "./problem.ts";
import * as redaction from "./redaction.ts";
import * as tableStream from "./table_stream.ts";

/** Dependencies of the handlers. */
export interface Context {
  host: access.Host;
  clock: runtime.Clock;
  metrics: telemetry.Metrics;
  logger: telemetry.Logger;
}

/** A call of an authenticated operator. */
export interface Call {
  operator: authentication.Operator;
  url: URL;
  request: http.IncomingMessage;
  response: http.ServerResponse;
}

/** A status and a JSON body; undefined when the handler has written the response
 * itself. */
export type Answer = { status: number; body: unknown } | undefined;

/** Handler of a method of a path, and the role that it requires. */
export interface Route {
  role: authentication.Role;
  handle(call: Call, context: Context): Answer | Promise<Answer>;
}

/** Routes by path, then by method. */
export const routes: Readonly<
  Record<string, Readonly<Record<string, Route>>>
> = {
  "/v1/table": { GET: { role: "reader", handle: showTable } },
  "/v1/table/watch": { GET: { role: "reader", handle: watchTable } },
  "/v1/table/edits": { POST: { role: "editor", handle: editTable } },
  "/v1/status": readRoute(({ host }) => host.status()),
  "/v1/pipelines": readRoute(({ host }) => ({ pipelines: host.pipelines() })),
  "/v1/endpoints": readRoute(({ host }) => ({ endpoints: host.endpoints() })),
  "/v1/dump": { GET: { role: "reader", handle: dump } },
  "/v1/drain": { POST: { role: "editor", handle: drain } },
};

/** Maximum number of cells of an edit that are logged. */
const MAX_LOGGED_CELLS = 20;

function readRoute(
  read: (context: Context) => unknown,
): Readonly<Record<string, Route>> {
  const handle = (_: Call, context: Context) => ok(read(context));
  return { GET: { role: "reader", handle } };
}

function ok(value: unknown): Answer {
  return { status: 200, body: value };
}

function hidesTokens({ role }: authentication.Operator): boolean {
  return role === "reader";
}

function showTable({ operator }: Call, { host }: Context): Answer {
  const view = host.table.view();
  const rows = view.rows();
  return ok({
    revision: view.revision,
    rows: hidesTokens(operator) ? redaction.redactRows(rows) : rows,
  });
}

function watchTable(
  { operator, url, response }: Call,
  { host, clock }: Context,
): Answer {
  const revision = Number(url.searchParams.get("revision") ?? 0);
  if (!Number.isSafeInteger(revision) || revision < 0) {
    const detail = "the revision must be a whole number from 0 on";
    throw new problem.OperatorsError("bad-request", detail);
  }
  const { table } = host;
  const redact = hidesTokens(operator);
  tableStream.stream(response, { table, clock, revision, redact });
  return undefined;
}

async function editTable(
  { operator, request }: Call,
  context: Context,
): Promise<Answer> {
  const edit = checkEdit(await body.readJSON(request), operator);
  const result = await context.host.table.edit(edit);
  recordEdit(edit, { result, context });
  if (result.type === "accepted") return ok({ revision: result.revision });
  throw refusal(result);
}

/** Validates an edit and sets its actor, which must be the calling operator. */
function checkEdit(
  value: unknown,
  { name }: authentication.Operator,
): schema.Edit {
  if (typeof value !== "object" || value === null) {
    const detail = "the body must be an edit";
    throw new problem.OperatorsError("bad-request", detail);
  }
  const { actor = name } = value as Partial<schema.Edit>;
  if (actor !== name) {
    const detail = `${name} cannot edit the table as another operator`;
    throw new problem.OperatorsError("forbidden", detail);
  }
  try {
    return check.check(validators.validate, { ...value, actor });
  } catch (error) {
    if (!(error instanceof check.SchemaError)) throw error;
    const { message, path } = error;
    throw new problem.OperatorsError("bad-request", message, { path });
  }
}

type FailedEdit = Exclude<access.EditResult, { type: "accepted" }>;

const refusals: {
  [T in FailedEdit["type"]]: (
    result: Extract<FailedEdit, { type: T }>,
  ) => problem.OperatorsError;
} = {
  conflict({ conflict }) {
    const { row, column, version, actor } = conflict;
    const lastEditor = actor === "" ? "nobody" : actor;
    const detail =
      `${row} ${column} is at version ${version}, by ${lastEditor}`;
    const extension = { outcome: "not-run" as const, conflict };
    return new problem.OperatorsError("conflict", detail, extension);
  },
  refused: ({ detail }) =>
    new problem.OperatorsError("refused", detail, { outcome: "not-run" }),
  unavailable: ({ outcome, detail }) =>
    new problem.OperatorsError(
      outcome === "not-run" ? "no-quorum" : "unknown",
      detail,
      { outcome },
    ),
};

function refusal(result: FailedEdit): problem.OperatorsError {
  const refuse = refusals[result.type] as (
    result: FailedEdit,
  ) => problem.OperatorsError;
  return refuse(result);
}

interface EditOutcome {
  result: access.EditResult;
  context: Context;
}

const editMetrics = {
  accepted: "table.edited",
  conflict: "table.conflict",
  refused: "table.refused",
  unavailable: "table.unavailable",
} as const;

function recordEdit(edit: schema.Edit, { result, context }: EditOutcome): void {
  context.metrics.count(editMetrics[result.type]);
  if (result.type !== "accepted") return;
  const { operation, actor, changes } = edit;
  const cells = redaction.redactValues(changes.slice(0, MAX_LOGGED_CELLS));
  const { revision } = result;
  context.logger.info(
    { operator: actor, operation, revision, changes: changes.length, cells },
    "Table edited",
  );
}

function dump({ operator }: Call, context: Context): Answer {
  context.metrics.count("node.dumps");
  context.logger.info({ operator: operator.name }, "State dumped");
  return ok(context.host.dump());
}

function drain({ operator }: Call, { host, logger }: Context): Answer {
  logger.info({ operator: operator.name }, "Drain requested");
  host.drain();
  return { status: 202, body: { state: host.status().state } };
}
