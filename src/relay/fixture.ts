/** Hosts on loopback for tests: one that serves tunnels, and one that dials it.
 * @module */

import type * as net from "node:net";
import type * as ava from "ava";
import * as peers from "../peers/mod.ts";
import * as runtime from "../runtime/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import type * as pathTables from "./path_table.ts";
import * as tunnelClient from "./tunnel_client.ts";
import * as tunnelServers from "./tunnel_server.ts";

/** Address on which all of them listen. */
export const LOOPBACK = "127.0.0.1";

/** Starts a host that serves tunnels, and another one that may dial it. */
export async function startRelay(
  t: ava.ExecutionContext,
  path: pathTables.Path | undefined = "direct",
  { keepsEnds = true, hasStopped }: {
    keepsEnds?: boolean;
    hasStopped?: tunnelServers.TunnelServerOptions["hasStopped"];
  } = {},
) {
  const tally = new telemetry.Tally();
  const server = tunnelServers.TunnelServer.create({
    clock: runtime.systemClock,
    logger: telemetry.noLogger,
    metrics: tally,
    pathTo: () => path,
    onFailure() {},
    hasStopped,
  });
  const requests: peers.TunnelRequest[] = [];
  const relay = await startPeers(t, "relay", [], {
    tunnels: {
      accept(request) {
        requests.push(request);
        server.accept(keepsEnds ? request : { ...request, tunnel: undefined });
      },
      hasEnded: (tunnel) => server.hasEnded(tunnel),
    },
  });
  const asker = await startPeers(t, "asker", [relay.port]);
  const dialAddress = asker.dialAddress("relay")!;
  return { server, relay, tally, requests, dialAddress };
}

/** Starts the transport of a host, which dials the other one if given its port. */
export async function startPeers(
  t: ava.ExecutionContext,
  self: string,
  [relayPort = 0]: readonly number[],
  change: Partial<peers.PeersOptions> = {},
): Promise<peers.Peers> {
  const started = peers.Peers.create({
    self,
    hosts: ["relay", "asker"].map((id) => ({
      id,
      address: LOOPBACK,
      port: id === self ? 0 : relayPort,
    })),
    key: "secret",
    validators: {},
    clock: new runtime.FakeClock(),
    onEnvelope() {},
    ...change,
  });
  await started.start();
  t.teardown(() => started.stop());
  return started;
}

/** Opens a tunnel to an endpoint; rejects if it is refused. */
export function openTunnel(
  dialAddress: peers.DialAddress,
  endpoint: string,
): Promise<net.Socket> {
  return new Promise((resolve, reject) => {
    tunnelClient.open(dialAddress, endpoint, (error, socket) => {
      if (error !== undefined) return reject(error);
      resolve(socket!);
    });
  });
}
