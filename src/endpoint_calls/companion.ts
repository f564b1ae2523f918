/** Connections that show whether the process that sends an answer goes on: they are
 * opened beside the answer's own one and carry nothing. The system closes them as the
 * process ends, and another process that listens at its address by then does not have
 * them.
 * @module */

import * as net from "node:net";
import type * as runtime from "../runtime/mod.ts";
import * as standstills from "./standstills.ts";

/** Opens a connection; the returned function gives it up. */
export type Dial = (
  callback: (error: Error | undefined, socket?: net.Socket) => void,
) => runtime.Cancel;

/** Where an endpoint is reached, and on which path. */
export interface Destination {
  /** Differs for other endpoints and other paths. */
  readonly key: string;
  readonly dial: Dial;
}

/** What a connection shows of the process that accepted it: that it goes on, that it
 * has ended or closed the connection, or nothing. */
export type Sign = "running" | "ended" | "none";

/** Destination of an endpoint that is reached directly. */
export function directTo(
  { host, port }: { readonly host: string; readonly port: number },
): Destination {
  return {
    key: `${host}:${port}`,
    dial(callback) {
      const socket = net.connect({ host, port });
      socket.once("connect", () => callback(undefined, socket));
      socket.once("error", callback);
      return () => socket.destroy();
    },
  };
}

/** A connection that answers of one endpoint share. */
class Companion {
  users = 0;
  #openedAt = Infinity;
  #endedAt = Infinity;
  #close: runtime.Cancel;

  constructor({ dial }: Destination) {
    const end = () => {
      this.#endedAt = Math.min(this.#endedAt, performance.now());
    };
    this.#close = dial((error, socket) => {
      if (error || socket === undefined) return end();
      this.#openedAt = performance.now();
      this.#close = () => socket.destroy();
      // Errors beside the first, too.
      socket.on("error", end).once("end", end).once("close", end);
      socket.resume().unref();
    });
  }

  get hasEnded(): boolean {
    return this.#endedAt < Infinity;
  }

  /** What it shows of a standstill of this process since a time. One that has opened
   * since may have been accepted by another process. */
  signSince(begin: number): Sign {
    if (this.#openedAt >= begin || this.#endedAt < begin) return "none";
    return this.hasEnded ? "ended" : "running";
  }

  close(): void {
    this.#close();
  }
}

/** A companion that is in use. */
export interface Companionship {
  /** What became of the process during a standstill that began at a time of
   * `performance.now`. */
  signSince(begin: number): Sign;
  /** Ends the use. */
  end(): void;
}

/** Companions of the answers that this process receives, by their destinations. */
const companions = new Map<string, Companion>();

/** Opens a connection to an endpoint beside an answer, or uses that of another
 * answer. */
export function accompany(destination: Destination): Companionship {
  const { key } = destination;
  const known = companions.get(key);
  const companion = known === undefined || known.hasEnded
    ? new Companion(destination)
    : known;
  companions.set(key, companion);
  companion.users++;
  const unwatch = standstills.watchShort();
  return {
    signSince: (begin) => companion.signSince(begin),
    end() {
      unwatch();
      if (--companion.users > 0) return;
      companion.close();
      if (companions.get(key) === companion) companions.delete(key);
    },
  };
}
