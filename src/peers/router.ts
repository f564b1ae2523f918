/** The one procedure that hosts call on each other.
 * @module */

import * as trpc from "@trpc/server";
import * as check from "../schema/check.ts";
import type * as schema from "../schema/peers_types.ts";
import * as validators from "../schema/peers_validators.ts";

/** What is known of a connection. */
export interface Context {
  /** Host that dialled. */
  host: string;
}

/** Takes a batch; returns how many of its messages were well-formed. */
export type Receive = (host: string, batch: schema.Batch) => number;

/** Creates the router; a call's answer says that the batch arrived. */
export function createRouter(receive: Receive) {
  const { procedure, router } = trpc.initTRPC.context<Context>().create({
    isDev: false,
    isServer: true,
  });
  return router({
    deliver: procedure
      .input((value) => check.check<schema.Batch>(validators.validate, value))
      .mutation(({ ctx, input }) => receive(ctx.host, input)),
  });
}

/** Type of the router, for clients. */
export type Router = ReturnType<typeof createRouter>;
