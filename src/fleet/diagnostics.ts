/** HTTP server of a host's metrics address: metrics, the evacuation report, and the
 * command that releases a request from quarantine.
 * @module */

import type * as http from "node:http";
import type * as telemetry from "../telemetry/mod.ts";
import type * as connectionLimits from "./connection_limit.ts";
import * as httpListener from "./http_listener.ts";
import type * as settings from "./settings.ts";

/** What a host shows and takes at its metrics address. */
export interface Host {
  /** Releases a request from quarantine at an operator's command; returns false
   * when it is not a suspect. Absent on hosts that do not take the command. */
  release?(fingerprint: string): boolean;
  /** Report of evacuations. Absent on hosts that do not take the command. */
  evacuations?(): unknown;
}

/** Path of the evacuation report. */
const EVACUATIONS_PATH = "/evacuations";
/** Path of the command that releases a request from quarantine. */
const RELEASE_PATTERN = /^\/suspects\/([\w-]{1,64})\/release$/;

/** Starts the server if the settings give its address. */
export async function serve(
  { metrics }: Pick<settings.HostSettings, "metrics">,
  { exposition, host, connectionLimit }: {
    exposition: Pick<telemetry.Exposition, "text">;
    host: Host;
    connectionLimit?: connectionLimits.ConnectionLimit;
  },
): Promise<http.Server | undefined> {
  if (metrics === undefined) return undefined;
  return await httpListener.listen(
    metrics.listenAddress,
    (request, response) => {
      const { method, url = "" } = request;
      if (url === metrics.path) {
        void exposition.text().then((text) => send(response, text));
        return;
      }
      if (url === EVACUATIONS_PATH && host.evacuations !== undefined) {
        response.setHeader("content-type", "application/json");
        send(response, JSON.stringify(host.evacuations()));
        return;
      }
      const fingerprint = RELEASE_PATTERN.exec(url)?.[1];
      const isReleased = method === "POST" && fingerprint !== undefined &&
        host.release?.(fingerprint);
      response.writeHead(isReleased ? 204 : 404).end();
    },
    { connectionLimit },
  );
}

/** Sends a text with its length, which Node leaves out in HTTP/1.0. */
function send(response: http.ServerResponse, text: string): void {
  response.setHeader("content-length", Buffer.byteLength(text));
  response.end(text);
}
