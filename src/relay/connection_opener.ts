/** Opens connections to endpoints on the first path that works, and learns which
 * hosts relay.
 * @module */

import type * as net from "node:net";
import type * as runtime from "../runtime/mod.ts";
import * as race from "./connection_race.ts";
import type * as dialers from "./dialer.ts";
import * as errors from "./errors.ts";
import * as relayRankings from "./relay_ranking.ts";

/** Time in which a connection opens on some path; TCP sends a lost SYN again
 * after one second. */
const CONNECT_TIMEOUT_MS = 700;
/** Time that the direct path is given before another host is asked, as RFC 8305
 * recommends. */
const DIRECT_PATIENCE_MS = 250;
/** Time that one host is given before the next is asked. */
const RELAY_PATIENCE_MS = 150;
/** Hosts asked for one connection; most of a data centre's may be partitioned. */
const MAX_RELAYS = 8;
/** Hosts that have not reached an endpoint either after which it counts as down:
 * some may share this host's fault. */
const MAX_UNREACHABLE_COUNT = 3;

/** Name of the direct path. */
const DIRECT = "direct";

/** Dependencies of an opener. */
export interface ConnectionOpenerOptions {
  readonly clock: runtime.Clock;
  readonly random: runtime.Random;
  readonly dataCentre: string;
  /** Other hosts that are ready to serve. */
  hosts(): readonly relayRankings.RelayHost[];
  readonly dialer: dialers.Dialer;
}

/** An open connection. */
export interface OpenConnection {
  readonly socket: net.Socket;
  /** Host that forwards it; undefined if it is direct. */
  readonly relay?: string;
}

/** Opens connections to endpoints, identified by IP address and port. */
export class ConnectionOpener {
  readonly #options: ConnectionOpenerOptions;
  readonly #ranking: relayRankings.RelayRanking;

  private constructor(options: ConnectionOpenerOptions) {
    this.#options = options;
    this.#ranking = relayRankings.RelayRanking.create(options);
  }

  static create(options: ConnectionOpenerOptions): ConnectionOpener {
    return new ConnectionOpener(options);
  }

  /** Opens a connection on any path; rejects with `RelayError` if none works. */
  async open(
    endpoint: string,
    preferred: "direct" | "relayed",
  ): Promise<OpenConnection> {
    const direct = this.#directCandidate(endpoint);
    const relays = this.#relayCandidates(endpoint);
    let unreachableCount = 0;
    const { candidate, socket } = await race.race({
      clock: this.#options.clock,
      candidates: preferred === "direct"
        ? [direct, ...relays]
        : [...relays, direct],
      timeout: CONNECT_TIMEOUT_MS,
      onFailure: ({ name }, error) => {
        if (name !== DIRECT) this.#ranking.record(name, endpoint, false);
        if (error instanceof errors.EndpointUnreachableError) {
          unreachableCount++;
        }
        return unreachableCount >= MAX_UNREACHABLE_COUNT;
      },
    });
    if (candidate === direct) return { socket };
    const relay = candidate.name;
    this.#ranking.record(relay, endpoint, true);
    return { socket, relay };
  }

  /** Opens a direct connection; rejects with `RelayError`. */
  async openDirect(endpoint: string, timeout: number): Promise<net.Socket> {
    const { socket } = await race.race({
      clock: this.#options.clock,
      candidates: [this.#directCandidate(endpoint)],
      timeout,
    });
    return socket;
  }

  #directCandidate(endpoint: string): race.Candidate {
    return {
      name: DIRECT,
      patience: DIRECT_PATIENCE_MS,
      open: (callback) => this.#options.dialer.direct(endpoint, callback),
    };
  }

  #relayCandidates(endpoint: string): race.Candidate[] {
    const { hosts, dialer } = this.#options;
    const ordered = this.#ranking.order(endpoint, hosts()).slice(0, MAX_RELAYS);
    return ordered.map((host) => ({
      name: host,
      patience: RELAY_PATIENCE_MS,
      open: (callback) => dialer.tunnel({ host, endpoint }, callback),
    }));
  }
}
