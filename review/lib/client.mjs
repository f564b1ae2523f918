// Clients, as the users' pages describe them: each request is one attempt with
// an id of its own, on a connection of its own.

import * as crypto from "node:crypto";
import { call } from "./fleet.mjs";

/** Sends a request to an entry host; resolves with its id and answer. */
export async function send(
  { fleet, record },
  { host, method = "POST", path, key, deadline, headers = {}, body = "{}" },
) {
  const id = crypto.randomBytes(8).toString("hex");
  record.add(`client sends ${id} (${method} ${path}) to ${host}`);
  const answer = await call({
    host,
    port: fleet.frontPort,
    method,
    path,
    headers: {
      Host: "app.example",
      "X-Attempt-Id": id,
      "X-Deadline-Ms": `${deadline}`,
      "X-Credential": key,
      ...headers,
    },
    body,
  }, { timeout: deadline });
  record.add(
    `client gets for ${id}: ${answer.status} ${answer.error ?? ""} ` +
      answer.text.replaceAll("\n", " ").slice(0, 120),
  );
  return { id, ...answer };
}

/** Headers of a prompt with a part of its own. */
export function promptHeaders({ tokens = 500, output = 20 } = {}) {
  const part = crypto.randomBytes(4).toString("hex");
  return {
    "X-Model": "m",
    "X-Token-Usage": `${tokens},${output}`,
    "X-Prompt-Prefix": `${part}:${tokens}`,
  };
}
