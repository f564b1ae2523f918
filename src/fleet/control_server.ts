/** HTTP towards operators and endpoints.
 * @module */

import type * as http from "node:http";
import type * as runtime from "../runtime/mod.ts";
import type * as telemetry from "../telemetry/mod.ts";
import * as errors from "./errors.ts";
import * as httpListener from "./http_listener.ts";
import * as protocol from "./control_protocol.ts";

/** Bytes of the largest configuration: thousands of routes. */
const MOST_BODY = 16 * 1024 * 1024;
/** Characters of a target in a line: what others send is not bounded. */
const MOST_SHOWN = 300;

type Order<T> = Extract<protocol.ControlCommand, { type: T }>;
type Served = "replace" | "read" | "evacuate" | "heartbeat" | "leave";

/** Answers orders by their types. */
export type CommandHandlers = {
  [T in Served]: (
    order: Order<T>,
    caller: protocol.ControlConnection,
  ) => Promise<protocol.ControlResponse>;
};

/** What the server needs of its host. */
export interface ControlServerOptions {
  listenAddress: httpListener.ListenAddress;
  logger: telemetry.Logger;
  metrics: telemetry.Metrics;
  clock: runtime.Clock;
  protocol: protocol.ControlProtocol;
  handlers: CommandHandlers;
}

/** A listening server. */
export class ControlServer {
  readonly #options: ControlServerOptions;
  #server!: http.Server;

  private constructor(options: ControlServerOptions) {
    this.#options = options;
  }

  /** Listens; resolves once calls are taken. */
  static async start(options: ControlServerOptions): Promise<ControlServer> {
    const control = new ControlServer(options);
    control.#server = await httpListener.listen(
      options.listenAddress,
      (request, response) => void control.#serve(request, response),
    );
    return control;
  }

  /** Closes all connections. */
  stop(): Promise<void> {
    return httpListener.close(this.#server);
  }

  async #serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const { clock, metrics, logger } = this.#options;
    const started = clock.now();
    const caller = { isClosed: () => response.closed };
    const { status, body } = await this.#answer(request, caller);
    const target = (request.url ?? "").slice(0, MOST_SHOWN);
    metrics.time("control.duration", clock.now() - started, {
      status: `${status}`,
    });
    if (status >= 400) logger.info({ target, status, body }, "Call refused");
    response.writeHead(status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
    });
    response.end(body);
  }

  async #answer(
    request: http.IncomingMessage,
    caller: protocol.ControlConnection,
  ): Promise<protocol.ControlResponse> {
    const { logger } = this.#options;
    const { method = "", url: target = "" } = request;
    try {
      const body = await httpListener.readBody(request, MOST_BODY);
      const call = { method, target, body };
      return await this.#handle(this.#options.protocol.decode(call), caller);
    } catch (error) {
      if (error instanceof errors.FleetError) {
        return protocol.problem(413, error.message);
      }
      logger.error({ err: error, target }, "Call failed");
      return protocol.problem(500, "the call failed");
    }
  }

  #handle(
    order: protocol.ControlCommand,
    caller: protocol.ControlConnection,
  ): protocol.ControlResponse | Promise<protocol.ControlResponse> {
    const { handlers, metrics } = this.#options;
    metrics.count("control.calls", 1, { type: order.type });
    if (order.type === "malformed") {
      metrics.count("control.malformed", 1, { fault: order.fault });
      return protocol.problem(400, order.detail);
    }
    if (order.type === "unknown") return protocol.problem(404, "no such call");
    const handler = handlers[order.type] as (
      order: protocol.ControlCommand,
      caller: protocol.ControlConnection,
    ) => Promise<protocol.ControlResponse>;
    return handler(order, caller);
  }
}
