/** Parses and validates the headers and bodies of callers' requests.
 * @module */

import type * as endpointCalls from "../endpoint_calls/call.ts";
import type * as http from "node:http";
import * as caller from "../schema/caller_validators.ts";
import type * as callerTypes from "../schema/caller_types.ts";
import * as check from "../schema/check.ts";
import * as problem from "./problem.ts";

/** Metadata from the headers of a request. */
export interface RequestMetadata {
  kind: string;
  /** Milliseconds left, when the caller sets a deadline. */
  remaining: number | undefined;
  /** False when the caller forbids retries. */
  idempotent: boolean;
  key: string | undefined;
}

const NAME = /^[a-z0-9][a-z0-9.-]{0,63}$/;
const NUMBER = /^-?\d{1,12}(\.\d+)?$/;
const KEY = /^[\x21-\x7e]{1,255}$/;

/** Parses the metadata headers of a request. */
export function metadataOf(headers: http.IncomingHttpHeaders): RequestMetadata {
  const kind = headerOf(headers, "chicoryloft-kind") ?? "default";
  requireValid(NAME.test(kind), "Chicoryloft-Kind is not a name");
  const deadline = headerOf(headers, "chicoryloft-deadline");
  requireValid(
    deadline === undefined || NUMBER.test(deadline),
    "Chicoryloft-Deadline is not a number of milliseconds",
  );
  const remaining = deadline === undefined ? undefined : Number(deadline);
  if (remaining !== undefined && remaining <= 0) {
    throw new problem.CallerError("deadline-passed", "The deadline has passed");
  }
  const idempotent = headerOf(headers, "chicoryloft-idempotent") ?? "true";
  requireValid(
    idempotent === "true" || idempotent === "false",
    "Chicoryloft-Idempotent is neither true nor false",
  );
  const key = headerOf(headers, "idempotency-key");
  requireValid(
    key === undefined || KEY.test(key),
    "Idempotency-Key is not of 1 to 255 visible ASCII characters",
  );
  return { kind, remaining, idempotent: idempotent === "true", key };
}

/** Parses the body of a pipeline request. */
export function pipelineCallOf(body: Buffer): callerTypes.PipelineCall {
  return parse<callerTypes.PipelineCall>(body, caller.validate);
}

/** Parses a JSON body and validates it against a schema. */
export function parse<T>(body: Buffer, validate: check.Validator): T {
  let value: unknown;
  try {
    value = JSON.parse(body.toString());
  } catch {
    throw new problem.CallerError("bad-request", "The body is not JSON");
  }
  try {
    return check.check<T>(validate, value);
  } catch (error) {
    if (!(error instanceof check.SchemaError)) throw error;
    const detail = `The body does not match its schema at ${error.message}`;
    throw new problem.CallerError("bad-request", detail);
  }
}

/** Input of a call to a plain service, without this system's headers. */
export function plainInputOf(
  incoming: http.IncomingMessage,
  { path, body }: { path: string; body: Buffer },
): endpointCalls.PlainInput {
  const headers: Record<string, string> = {};
  for (const [name, value] of Object.entries(incoming.headers)) {
    if (value === undefined || name.startsWith("chicoryloft-")) continue;
    headers[name] = Array.isArray(value) ? value.join(", ") : value;
  }
  return { type: "plain", method: incoming.method!, path, headers, body };
}

function headerOf(
  headers: http.IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value.join(", ") : value;
}

function requireValid(holds: boolean, detail: string): void {
  if (!holds) throw new problem.CallerError("bad-request", detail);
}
