/** Steers a fleet of stand-ins over HTTP, for experiments whose stand-ins run
 * in another process.
 * @module */

import * as faults from "./faults.ts";
import type * as fleet from "./fleet.ts";
import * as server from "./server.ts";

/** What a fleet is told from outside. */
export interface Instruction {
  selection?: fleet.Selection;
  fault: faults.Fault;
}

/** HTTP interface of a fleet: its ledger, faults, leaving and dying. */
export class Control {
  readonly #fleet: fleet.Fleet;
  readonly #server: server.Server;

  constructor(steered: fleet.Fleet) {
    this.#fleet = steered;
    this.#server = new server.Server((incoming) => this.#serve(incoming));
  }

  /** Base URL; known once it has started. */
  get url(): string {
    return this.#server.url;
  }

  async start(port = 0): Promise<void> {
    await this.#server.start(port);
  }

  async stop(): Promise<void> {
    await this.#server.stop();
  }

  async #serve(incoming: server.Incoming): Promise<void> {
    const { method, url: { pathname }, reply } = incoming;
    const handler = this.#handlers[`${method} ${pathname}`];
    if (handler === undefined) {
      return reply.json(404, { detail: "There is no such path" });
    }
    reply.json(200, await handler(incoming) ?? {});
  }

  readonly #handlers: Record<
    string,
    (incoming: server.Incoming) => unknown
  > = {
    "GET /ledger": () => this.#fleet.ledger.totals(),
    "GET /endpoints": () =>
      this.#fleet.select().map(({ id, service, dataCentre, url }) => ({
        id,
        service,
        dataCentre,
        url,
      })),
    "POST /faults": ({ body }) => {
      const { selection, fault } = JSON.parse(body) as Instruction;
      if (!faults.isFault(fault)) {
        throw new server.StandInError("This is not a fault");
      }
      this.#fleet.fault(fault, selection);
    },
    "DELETE /faults": () => this.#fleet.clear(),
    "POST /leave": ({ body }) => this.#fleet.leave(JSON.parse(body)),
    "POST /kill": ({ body }) => this.#fleet.kill(JSON.parse(body)),
  };
}
