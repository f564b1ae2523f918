/** A connection to one other host, which is dialled again whenever it ends.
 * @module */

import * as ws from "ws";
import type * as telemetry from "../telemetry/mod.ts";
import * as frames from "./frame.ts";

/** Milliseconds in which a connection opens. */
const HANDSHAKE_TIMEOUT = 2000;
const FIRST_RETRY = 100;
const LAST_RETRY = 1000;
/** Bytes of the largest answer. */
const MOST_ANSWER = 64;

/** Where a connection leads. */
export interface Destination {
  /** Host that is dialled. */
  readonly host: string;
  readonly url: string;
  readonly headers: Record<string, string>;
  readonly logger: telemetry.Logger;
}

/** Hears what becomes of a connection. */
export interface ConnectionListener {
  open(): void;
  /** It has ended; what was under way is lost. */
  close(): void;
  /** The other host has taken a frame. */
  acknowledged(id: number): void;
}

/** A lasting connection. */
export class Connection {
  readonly #destination: Destination;
  readonly #listener: ConnectionListener;
  #socket!: ws.WebSocket;
  #retry?: NodeJS.Timeout;
  #failures = 0;
  #isClosed = false;

  private constructor(destination: Destination, listener: ConnectionListener) {
    this.#destination = destination;
    this.#listener = listener;
  }

  /** Dials, until it is closed. */
  static dial(
    destination: Destination,
    listener: ConnectionListener,
  ): Connection {
    const connection = new Connection(destination, listener);
    connection.#dial();
    return connection;
  }

  /** Sends a frame; the connection is open. */
  send(frame: string): void {
    this.#socket.send(frame);
  }

  /** Ends it at once: one that is silent would not answer a close. */
  close(): void {
    this.#isClosed = true;
    clearTimeout(this.#retry);
    this.#socket.terminate();
  }

  #dial(): void {
    const { url, headers, host, logger } = this.#destination;
    const socket = new ws.WebSocket(url, {
      headers,
      handshakeTimeout: HANDSHAKE_TIMEOUT,
      maxPayload: MOST_ANSWER,
      perMessageDeflate: false,
    });
    this.#socket = socket;
    socket.on("open", () => {
      this.#failures = 0;
      if (!this.#isClosed) this.#listener.open();
    });
    socket.on("message", (data) => {
      this.#listener.acknowledged(frames.decodeAck(`${data}`));
    });
    socket.on("error", (err) => logger.debug({ peer: host, err }, "Lost"));
    socket.on("close", () => this.#ended());
  }

  #ended(): void {
    if (this.#isClosed) return;
    this.#listener.close();
    const wait = Math.min(LAST_RETRY, FIRST_RETRY * 2 ** this.#failures++);
    this.#retry = setTimeout(() => this.#dial(), wait);
  }
}
