/** Clients with one connection each, which know when it was opened and when something
 * last came on it. This tells connections to a process that is known to run since
 * a time from those that may lead to a former one at its address.
 * @module */

import type * as net from "node:net";
import * as undici from "undici";
import type * as runtime from "../runtime/mod.ts";

/** Milliseconds without a byte after which the system asks the other side whether
 * it still has a connection; one that does not answers with a reset. */
const KEEP_ALIVE_MS = 1000;

/** Options of a connection; `connect` opens it. */
export type ConnectionOptions = Omit<undici.Client.Options, "connect"> & {
  readonly connect: undici.buildConnector.connector;
};

/** Options of a client. */
export interface DatedClientOptions {
  readonly connection: ConnectionOptions;
  readonly clock: runtime.Clock;
}

/** A connection that is open or being opened. */
interface Connection {
  /** Absent until it is open. */
  socket?: net.Socket;
  readonly dialedAt: number;
  openedAt: number;
  receivedAt: number;
}

/** An undici client and the times of its connection. */
export class DatedClient {
  readonly client: undici.Client;
  readonly #clock: runtime.Clock;
  #connection?: Connection;

  private constructor(
    origin: string,
    { connection, clock }: DatedClientOptions,
  ) {
    this.#clock = clock;
    const connect = this.#recording(connection.connect);
    this.client = new undici.Client(origin, { ...connection, connect });
  }

  /** Creates a client, which connects on its first call. */
  static create(origin: string, options: DatedClientOptions): DatedClient {
    return new DatedClient(origin, options);
  }

  /** Since when the connection is known to lead to the process that runs at the
   * endpoint's address since a time, as something came on it later; infinite if that
   * is not known. */
  openSince(time: number): number {
    const { receivedAt = -Infinity, openedAt = Infinity } = this.#connection ??
      {};
    return receivedAt >= time ? openedAt : Infinity;
  }

  /** Whether the connection began to open after a time. */
  isDialedSince(time: number): boolean {
    return (this.#connection?.dialedAt ?? -Infinity) >= time;
  }

  /** Has the system check the connection. What was received after a machine lost its
   * power may have been sent before. */
  keepAlive(): void {
    this.#connection?.socket?.setKeepAlive(true, KEEP_ALIVE_MS);
  }

  #recording(
    connect: undici.buildConnector.connector,
  ): undici.buildConnector.connector {
    return (options, callback) => {
      // The other side may accept the connection long before its opening is noticed
      // here.
      const dialedAt = this.#clock.now();
      const connection: Connection = {
        dialedAt,
        openedAt: Infinity,
        receivedAt: -Infinity,
      };
      this.#connection = connection;
      connect(options, (...results) => {
        const [, socket] = results;
        if (socket) this.#watch(connection, socket);
        callback(...results as Parameters<typeof callback>);
      });
    };
  }

  #watch(connection: Connection, socket: net.Socket): void {
    connection.socket = socket;
    connection.openedAt = this.#clock.now();
    let receivedBytes = socket.bytesRead;
    socket.on("readable", () => {
      // The event also marks the end of the data.
      if (socket.bytesRead === receivedBytes) return;
      receivedBytes = socket.bytesRead;
      connection.receivedAt = this.#clock.now();
    });
  }
}

/** What became of the connections with calls in flight. */
export interface Parted {
  /** Number of those that go on. */
  readonly kept: number;
  /** Number of those whose calls have failed. */
  readonly closed: number;
}

/** Closes the connections to one address that may lead to a process which ran there
 * before the one that runs since a time; their calls fail with the error. The system
 * checks the others: something came on them since, or they were opened since, or
 * behind one of these. */
export async function destroyFormer(
  clients: readonly DatedClient[],
  { since, error }: { readonly since: number; readonly error: Error },
): Promise<Parted> {
  const opened = clients.map((each) => each.openSince(since));
  const first = Math.min(since, ...opened);
  const kept = clients.filter((each) =>
    each.openSince(since) < Infinity || each.isDialedSince(first)
  );
  const former = clients.filter((each) => !kept.includes(each));
  const counts = { kept: countBusy(kept), closed: countBusy(former) };
  for (const each of kept) each.keepAlive();
  await Promise.all(former.map(({ client }) => client.destroy(error)));
  return counts;
}

function countBusy(clients: readonly DatedClient[]): number {
  return clients.filter(({ client: { destroyed, stats } }) =>
    !destroyed && stats.size > 0
  ).length;
}
