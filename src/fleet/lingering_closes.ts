/** Closing of connections on which a caller still sends the body of a request that
 * is refused. Closing a connection with unread bytes resets it, and a reset may
 * discard the refusal before its caller has read it. Such a connection is therefore
 * closed for writing first; what arrives is discarded until the caller closes its
 * side, for a bounded time.
 * @module */

import type * as net from "node:net";
import type * as runtime from "../runtime/mod.ts";

/** What is done with a connection. */
export type Socket = Pick<
  net.Socket,
  "destroySoon" | "end" | "destroy" | "once"
>;

/** Milliseconds for which a connection stays open after its reply, in which its
 * caller reads that. */
const TIMEOUT_MS = 1000;
/** Most such connections; one beyond them is closed at once. */
const MAX_COUNT = 64;

/** Dependencies of `LingeringCloses`. */
export interface LingeringClosesOptions {
  readonly clock: runtime.Clock;
}

/** Connections that close so. Mutable. */
export class LingeringCloses {
  readonly #options: LingeringClosesOptions;
  #count = 0;

  private constructor(options: LingeringClosesOptions) {
    this.#options = options;
  }

  static create(options: LingeringClosesOptions): LingeringCloses {
    return new LingeringCloses(options);
  }

  /** Has a connection linger once Node closes it after its last reply. */
  prepare(socket: Socket): void {
    if (this.#count >= MAX_COUNT) return;
    const { clock } = this.#options;
    this.#count++;
    let cancel = () => {};
    socket.once("close", () => {
      this.#count--;
      cancel();
    });
    // Node calls this method after a reply that is the last one.
    socket.destroySoon = () => {
      socket.end();
      socket.once("end", () => socket.destroy());
      cancel = clock.after(TIMEOUT_MS, () => socket.destroy());
    };
  }
}
