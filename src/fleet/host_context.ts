/** Dependencies that control hosts and entry hosts share, and the transport and
 * RPC layer between hosts.
 * @module */

import type * as configurations from "../configuration/mod.ts";
import * as peers from "../peers/mod.ts";
import * as runtime from "../runtime/mod.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as fleetMessages from "../schema/fleet_validators.ts";
import * as logMessages from "../schema/log_validators.ts";
import type * as telemetry from "../telemetry/mod.ts";
import type * as settings from "./settings.ts";

/** Settings and system services that a host is given. */
export interface HostContext {
  settings: settings.HostSettings;
  /** Incarnation of this process; see `peers.drawIncarnation`. */
  incarnation: string;
  clock: runtime.Clock;
  random: runtime.Random;
  logger: telemetry.Logger;
  metrics: telemetry.Metrics;
}

/** Decodes a configuration; throws when it is invalid. */
export type DecodeConfiguration = (
  document: string,
) => configurations.Configuration;

/** Transport of a host, and RPC over it. */
export interface Network {
  transport: peers.Peers;
  calls: peers.Rpc;
}

/** Handlers of messages from other hosts. */
export interface MessageHandlers {
  handlers: peers.Handlers;
  onNotice(notice: schema.Notice, sender: peers.Process): void;
  onLog?(envelope: runtime.Envelope): void;
  /** Serves tunnels; absent on hosts that serve none. */
  tunnels?: peers.Tunnels;
}

/** Creates the transport and the RPC layer; neither listens yet. */
export function createNetwork(
  { settings: { host, peerPort }, incarnation, clock, logger, metrics }:
    HostContext,
  { handlers, onNotice, onLog, tunnels }: MessageHandlers,
): Network {
  const transport = peers.Peers.create({
    self: host,
    incarnation,
    hosts: {
      get: (id) => ({ id, address: id, port: peerPort }),
      has: () => true,
    },
    validators: {
      fleet: fleetMessages.validate,
      log: logMessages.validate,
    },
    entryLists: {
      fleet: [
        "sightings",
        "uses",
        "hosts",
        "suspects",
        "limits",
        "origins",
        "slowness",
        "accounts",
      ],
    },
    clock,
    logger,
    metrics,
    tunnels,
    onEnvelope(envelope) {
      if (envelope.channel === "log") return onLog?.(envelope);
      calls.receive(envelope, envelope.body as schema.FleetMessage);
    },
  });
  const calls = peers.Rpc.create({
    self: host,
    incarnation,
    clock,
    metrics,
    transport,
    handlers,
    onNotice,
    onHandlerError: (error, { type }) =>
      logger.error(
        { err: error, type },
        "RPC handler failed; the caller gets no reply",
      ),
  });
  return { transport, calls };
}
