/** A caller's connection: the requests on it that are not answered yet, and whether
 * a further one may be served.
 *
 * Replies are sent in the order of their requests. So only the reply to the last
 * one may announce that the connection closes: those behind it would never be
 * sent. A request that is read after such a reply can't be answered, so it must
 * not be passed on.
 * @module */

import type * as http from "node:http";
import type * as net from "node:net";
import type * as lingeringCloses from "../fleet/lingering_closes.ts";

/** A request and its response. */
export interface Exchange {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
}

/** What is done with the socket of a connection. */
type Socket =
  & Pick<net.Socket, "destroySoon" | "destroy" | "resetAndDestroy">
  & lingeringCloses.Socket;

type LingeringCloses = Pick<lingeringCloses.LingeringCloses, "prepare">;

/** State of one connection. Mutable. */
export class CallerConnection {
  readonly #socket: Socket;
  readonly #lingeringCloses?: LingeringCloses;
  /** Requests whose replies are not sent whole yet, in their order. */
  #open: Exchange[] = [];
  #isClosing = false;
  /** Request after whose reply it closes. */
  #closesAfter?: Exchange;
  /** Request whose reply ends with the connection. */
  #closeDelimited?: http.IncomingMessage;

  private constructor(socket: Socket, closes?: LingeringCloses) {
    this.#socket = socket;
    this.#lingeringCloses = closes;
  }

  /** A connection that closes at once after its last reply if it gets no
   * `lingeringCloses`. */
  static create(
    socket: Socket,
    { lingeringCloses }: { lingeringCloses?: LingeringCloses } = {},
  ): CallerConnection {
    return new CallerConnection(socket, lingeringCloses);
  }

  /** Whether a reply is not sent whole yet. */
  get isBusy(): boolean {
    return this.#open.length > 0;
  }

  /** Whether a part of the last request's body has not arrived. */
  get isReceiving(): boolean {
    return this.#last !== undefined && !this.#last.request.complete;
  }

  get #last(): Exchange | undefined {
    return this.#open.at(-1);
  }

  /** Whether it closes after the last reply, so that no further request may be
   * served. */
  get isClosing(): boolean {
    return this.#isClosing;
  }

  /** Records a request that was read. */
  begin(exchange: Exchange): void {
    this.#open.push(exchange);
    exchange.response.once("close", () => {
      this.#open = this.#open.filter((each) => each !== exchange);
    });
  }

  /** Whether a request is the last one that was read. */
  isLast(request: http.IncomingMessage): boolean {
    return this.#last?.request === request;
  }

  /** Whether the head of the reply to a request has to announce that the
   * connection closes after it; `isWanted` says that it should close as soon as
   * no reply is lost by it. */
  announcesClose(request: http.IncomingMessage, isWanted: boolean): boolean {
    if (!this.isLast(request)) return false;
    this.#isClosing ||= isWanted;
    return this.#isClosing;
  }

  /** Has it linger before it closes, so that its caller gets the refusal of a
   * request that it still sends. */
  linger(): void {
    this.#lingeringCloses?.prepare(this.#socket);
  }

  /** Records that the end of the connection is that of the reply to a request, as
   * it states none of its own. */
  recordCloseDelimited(request: http.IncomingMessage): void {
    this.#closeDelimited = request;
  }

  /** Closes it at once. It is reset if the reply that is being sent ends with it:
   * otherwise its caller would take the part that it has for the whole. */
  close(): void {
    const [first] = this.#open;
    const isReset = first !== undefined &&
      first.request === this.#closeDelimited;
    if (isReset) this.#socket.resetAndDestroy();
    else this.#socket.destroy();
  }

  /** Closes it once the requests that were read whole are answered; returns false
   * if there are none. The rest of a later one does not arrive. */
  closeWhenWholeAnswered(): boolean {
    const last = this.#open.findLast(({ request }) => request.complete);
    if (last === undefined) return false;
    this.#closeAfter(last);
    return true;
  }

  /** Closes it once all requests in flight are answered. */
  closeWhenAnswered(): void {
    if (this.#last !== undefined) return this.#closeAfter(this.#last);
    this.#isClosing = true;
    this.#socket.destroySoon();
  }

  #closeAfter(exchange: Exchange): void {
    this.#isClosing = true;
    if (this.#closesAfter === exchange) return;
    this.#closesAfter = exchange;
    exchange.response.once("close", () => this.#socket.destroySoon());
  }
}
