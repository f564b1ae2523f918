/** Asks several hosts one after the other until one replies.
 * @module */

import type * as schema from "../schema/fleet_types.ts";
import type * as telemetry from "../telemetry/mod.ts";
import type * as rpc from "./rpc.ts";

/** Hosts to ask, and what is logged of those that do not reply. */
export interface AskOptions {
  readonly calls: Pick<rpc.Rpc, "ask">;
  readonly hosts: readonly string[];
  /** Milliseconds that each host is given. */
  readonly timeout: number;
  readonly logger: telemetry.Logger;
  /** Message, and fields beside the host and the reason. */
  readonly message: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Resolves with the first reply of the wanted type, or with undefined. */
export async function askInTurn<T extends schema.Reply["type"]>(
  question: schema.Question,
  type: T,
  { calls, hosts, timeout, logger, message, fields }: AskOptions,
): Promise<Extract<schema.Reply, { type: T }> | undefined> {
  for (const owner of hosts) {
    try {
      const reply = await calls.ask(owner, question, { timeout });
      if (reply.type === type) {
        return reply as Extract<schema.Reply, { type: T }>;
      }
      logger.info({ owner, ...fields, reason: reply.type }, message);
    } catch (error) {
      logger.info({ owner, ...fields, reason: `${error}` }, message);
    }
  }
  return undefined;
}
