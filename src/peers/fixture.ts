/** Hosts on loopback for tests of the transport and of calls between hosts.
 * @module */

import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as peers from "./mod.ts";

const POLL_INTERVAL_MS = 5;
/** Ids of the two hosts. */
export const ASKER = "asker";
export const OWNER = "owner";

/** A host with the transport and the calls of the product. */
export interface Host {
  readonly transport: peers.Peers;
  readonly rpc: peers.Rpc;
  readonly tally: telemetry.Tally;
  readonly notices: schema.Notice[];
}

/** Options of `startHost`. */
export interface HostOptions {
  readonly self: string;
  /** Port of the other host. */
  readonly port: number;
  readonly handlers?: peers.Handlers;
  /** Whether it is of a release that knows no incarnations. */
  readonly isEarlier?: boolean;
}

/** Starts a host with the transport and the calls of the product. */
export async function startHost(
  { self, port, handlers = {}, isEarlier = false }: HostOptions,
): Promise<Host> {
  const clock = runtime.systemClock;
  const tally = new telemetry.Tally();
  const notices: schema.Notice[] = [];
  const incarnation = peers.drawIncarnation();
  const hosts = [ASKER, OWNER].map((id) => ({
    id,
    address: "127.0.0.1",
    port: id === self ? 0 : port,
  }));
  const transport = peers.Peers.create({
    self,
    hosts,
    ...(!isEarlier && { incarnation }),
    validators: { fleet: () => true },
    clock,
    metrics: tally,
    onEnvelope({ from, fromIncarnation, body }) {
      const sender = isEarlier ? { from } : { from, fromIncarnation };
      rpc.receive(sender, body as schema.FleetMessage);
    },
  });
  const rpc = peers.Rpc.create({
    self,
    incarnation,
    clock,
    metrics: tally,
    transport,
    handlers,
    onNotice: (notice) => void notices.push(notice),
    onHandlerError: (error) => {
      throw error;
    },
  });
  await transport.start();
  return { transport, rpc, tally, notices };
}

/** Resolves once a condition holds. */
export async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((done) => setTimeout(done, POLL_INTERVAL_MS));
  }
}
