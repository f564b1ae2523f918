/** HTTP server of a control host, for operators and endpoints.
 * @module */

import type * as http from "node:http";
import type * as runtime from "../runtime/mod.ts";
import * as telemetry from "../telemetry/mod.ts";
import * as connectionLimits from "./connection_limit.ts";
import * as httpListener from "./http_listener.ts";
import * as jsonValues from "./json_values.ts";
import * as lingeringCloses from "./lingering_closes.ts";
import * as requestBodies from "./request_bodies.ts";
import * as protocol from "./control_protocol.ts";

/** Enough for a configuration with thousands of routes. */
const MAX_CONFIGURATION_BYTES = 16 * 1024 * 1024;
/** Other calls have a few hundred bytes. */
const MAX_BODY_BYTES = 64 * 1024;
/** Milliseconds in which a whole request has to arrive. */
const REQUEST_TIMEOUT_MS = 60_000;
/** Log lines about requests that cannot be decoded: another writer may send many
 * of them, and other lines must remain. */
const MALFORMED_LOG_BOUNDS = { rate: 1, burst: 10 };
/** Targets in log lines are truncated, since clients may send any length. */
const MAX_LOGGED_CHARACTERS = 300;

type CommandOf<T> = Extract<protocol.ControlCommand, { type: T }>;
type HandledType = "replace" | "read" | "evacuate" | "heartbeat" | "leave";

/** Handlers of commands by type. */
export type CommandHandlers = {
  [T in HandledType]: (
    command: CommandOf<T>,
    connection: protocol.ControlConnection,
  ) => Promise<protocol.ControlResponse>;
};

/** Dependencies of the server. */
export interface ControlServerOptions {
  listenAddress: httpListener.ListenAddress;
  logger: telemetry.Logger;
  metrics: telemetry.Metrics;
  clock: runtime.Clock;
  protocol: protocol.ControlProtocol;
  handlers: CommandHandlers;
  bounds: ControlBounds;
}

/** Bounds on what clients may take. */
export interface ControlBounds extends connectionLimits.ConnectionBounds {
  /** Most bytes that the host may hold for all requests together. */
  readonly requestBytes: number;
  /** Most values of a configuration. */
  readonly configurationValues: number;
}

/** Why a body is refused. */
const BODY_PROBLEMS: Readonly<
  Record<requestBodies.BodyFailure, protocol.ControlResponse>
> = {
  "too-large": protocol.problem(413, "The body is too large"),
  "unreadable": protocol.problem(400, "The body did not arrive"),
  "no-memory": protocol.problem(503, "Other requests take the memory"),
};

/** A listening control server. */
export class ControlServer {
  readonly #options: ControlServerOptions;
  readonly #malformedLogger: telemetry.Logger;
  readonly #bodies: requestBodies.RequestBodies;
  readonly #lingeringCloses: lingeringCloses.LingeringCloses;
  #server!: http.Server;

  private constructor(options: ControlServerOptions) {
    this.#options = options;
    this.#bodies = requestBodies.RequestBodies.create({
      metrics: options.metrics,
      maxBytes: options.bounds.requestBytes,
      otherBytes: () => 0,
      afterTurn: setImmediate,
    });
    this.#lingeringCloses = lingeringCloses.LingeringCloses.create(options);
    this.#malformedLogger = telemetry.boundLogger(
      options.logger,
      options.clock,
      MALFORMED_LOG_BOUNDS,
    );
  }

  /** Starts to listen; resolves once requests are accepted. */
  static async start(options: ControlServerOptions): Promise<ControlServer> {
    const server = new ControlServer(options);
    server.#server = await httpListener.listen(
      options.listenAddress,
      (request, response) => void server.#serve(request, response),
      {
        requestTimeout: REQUEST_TIMEOUT_MS,
        connectionLimit: connectionLimits.ConnectionLimit.create({
          ...options,
          ...options.bounds,
          server: "control",
        }),
      },
    );
    return server;
  }

  /** Stops listening and closes all connections. */
  stop(): Promise<void> {
    return httpListener.close(this.#server);
  }

  async #serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const { clock, metrics, logger } = this.#options;
    const started = clock.now();
    const connection = { isClosed: () => response.closed };
    const { status, body, fault } = await this.#respond(request, connection);
    const target = (request.url ?? "").slice(0, MAX_LOGGED_CHARACTERS);
    metrics.time("control.duration", clock.now() - started, {
      status: `${status}`,
    });
    if (status >= 400) {
      const fitting = fault === undefined ? logger : this.#malformedLogger;
      fitting.info({ target, status, body, fault }, "Control request refused");
    }
    const isEarly = !request.complete;
    if (isEarly) this.#lingeringCloses.prepare(request.socket);
    response.writeHead(status, {
      "content-type": "application/json",
      "content-length": Buffer.byteLength(body),
      ...(isEarly && { connection: "close" }),
    });
    response.end(body);
  }

  async #respond(
    request: http.IncomingMessage,
    connection: protocol.ControlConnection,
  ): Promise<protocol.ControlResponse> {
    const { logger, bounds } = this.#options;
    const { method = "", url: target = "" } = request;
    const isConfiguration = this.#options.protocol.isConfiguration({
      method,
      target,
    });
    const received = this.#bodies.read(request, {
      maxBytes: isConfiguration ? MAX_CONFIGURATION_BYTES : MAX_BODY_BYTES,
    });
    try {
      const body = await received.result;
      if (typeof body === "string") return BODY_PROBLEMS[body];
      if (jsonValues.exceed(body, bounds.configurationValues)) {
        return protocol.problem(413, "The body has too many values");
      }
      return await this.#handle(
        this.#options.protocol.decode({ method, target, body }),
        connection,
      );
    } catch (error) {
      logger.error({ err: error, target }, "Control request failed");
      return protocol.problem(500, "the call failed");
    } finally {
      received.discard();
    }
  }

  #handle(
    parsed: protocol.ControlCommand,
    connection: protocol.ControlConnection,
  ): protocol.ControlResponse | Promise<protocol.ControlResponse> {
    const { handlers, metrics } = this.#options;
    metrics.count("control.calls", 1, { type: parsed.type });
    if (parsed.type === "malformed") {
      metrics.count("control.malformed", 1, { fault: parsed.fault });
      const { detail, fault } = parsed;
      return { ...protocol.problem(400, detail), fault };
    }
    if (parsed.type === "unknown") return protocol.problem(404, "no such call");
    const handler = handlers[parsed.type] as (
      command: protocol.ControlCommand,
      connection: protocol.ControlConnection,
    ) => Promise<protocol.ControlResponse>;
    return handler(parsed, connection);
  }
}
