/** A connection to one other host, which reconnects with back-off when it ends.
 * @module */

import * as ws from "ws";
import type * as telemetry from "../telemetry/mod.ts";
import * as frames from "./frame.ts";
import * as handshake from "./handshake.ts";
import * as incarnations from "./incarnation.ts";

/** Time within which a connection has to open. */
const HANDSHAKE_TIMEOUT_MS = 2000;
const MIN_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 1000;
/** Maximum size of an acknowledgement. */
const MAX_ACK_BYTES = 64;

/** Destination of a connection. */
export interface Destination {
  /** Id of the host. */
  readonly host: string;
  readonly url: string;
  readonly headers: Record<string, string>;
  readonly logger: telemetry.Logger;
}

/** Callbacks of a connection. */
export interface ConnectionListener {
  /** The connection has opened, to a process that may have stated its
   * incarnation. */
  open(incarnation: incarnations.Incarnation | undefined): void;
  /** The connection has ended; unacknowledged frames may be lost. */
  close(): void;
  /** The other host has received a frame. */
  acknowledged(id: number): void;
}

/** A connection that is re-established until it is closed. */
export class Connection {
  readonly #destination: Destination;
  readonly #listener: ConnectionListener;
  #socket!: ws.WebSocket;
  #retryTimer?: NodeJS.Timeout;
  #failures = 0;
  #isClosed = false;

  private constructor(destination: Destination, listener: ConnectionListener) {
    this.#destination = destination;
    this.#listener = listener;
  }

  /** Dials, and dials again after each failure, until `close` is called. */
  static dial(
    destination: Destination,
    listener: ConnectionListener,
  ): Connection {
    const connection = new Connection(destination, listener);
    connection.#dial();
    return connection;
  }

  /** Sends a frame; the connection must be open. */
  send(frame: string): void {
    this.#socket.send(frame);
  }

  /** Terminates the connection without a closing handshake, which a silent host
   * would not answer. */
  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#retryTimer);
    this.#socket.terminate();
  }

  #dial(): void {
    const { url, headers, host, logger } = this.#destination;
    const socket = new ws.WebSocket(url, {
      headers,
      handshakeTimeout: HANDSHAKE_TIMEOUT_MS,
      maxPayload: MAX_ACK_BYTES,
      perMessageDeflate: false,
    });
    this.#socket = socket;
    let incarnation: incarnations.Incarnation | undefined;
    socket.on("upgrade", ({ headers }) => {
      const value = headers[handshake.INCARNATION_HEADER];
      incarnation = incarnations.decode(value);
    });
    socket.on("open", () => {
      this.#failures = 0;
      if (!this.#isClosed) this.#listener.open(incarnation);
    });
    socket.on("message", (data) => {
      this.#listener.acknowledged(frames.decodeAck(`${data}`));
    });
    socket.on(
      "error",
      (err) => logger.debug({ peer: host, err }, "Connection failed"),
    );
    socket.on("close", () => this.#scheduleRetry());
  }

  #scheduleRetry(): void {
    if (this.#isClosed) return;
    this.#listener.close();
    const wait = Math.min(
      MAX_RETRY_DELAY_MS,
      MIN_RETRY_DELAY_MS * 2 ** this.#failures++,
    );
    this.#retryTimer = setTimeout(() => this.#dial(), wait);
  }
}
