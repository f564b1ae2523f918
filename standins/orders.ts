/** Orders of an engine: models, adapters and role, with or without fencing.
 * @module */

import type * as endpoint from "../src/schema/endpoint_types.ts";

/** A model that an engine holds. */
export interface Model {
  model: string;
  adapter?: string;
  version?: string;
}

/** What an engine is told to do. */
export type Order =
  | ({ type: "load" | "unload" } & Model)
  | { type: "role"; role: endpoint.EngineRole };

/** An order with its fencing token. */
export interface Fenced {
  token: number;
  order: Order;
}

/** What an engine holds and whom it obeys. */
export interface Holding {
  models: readonly Model[];
  role: endpoint.EngineRole;
  /** Largest fencing token seen. */
  token: number;
  loading: boolean;
}

/** Whether an engine refuses old fencing tokens. */
export type Fencing = "checks" | "ignores";

/** Whether an engine takes an order. */
export function accepts(
  holding: Holding,
  { token }: Fenced,
  fencing: Fencing,
): boolean {
  return fencing === "ignores" || token >= holding.token;
}

/** A holding after an order was carried out. */
export function apply(holding: Holding, { token, order }: Fenced): Holding {
  const seen = { ...holding, token: Math.max(holding.token, token) };
  return handlers[order.type](seen, order);
}

const handlers: Record<
  Order["type"],
  (holding: Holding, order: Order) => Holding
> = {
  load: (holding, order) => ({
    ...holding,
    models: [...without(holding.models, order as Model), pick(order as Model)],
  }),
  unload: (holding, order) => ({
    ...holding,
    models: without(holding.models, order as Model),
  }),
  role: (holding, order) => ({
    ...holding,
    role: (order as Order & { type: "role" }).role,
  }),
};

function without(models: readonly Model[], gone: Model): Model[] {
  return models.filter(({ model, adapter }) =>
    model !== gone.model || adapter !== gone.adapter
  );
}

function pick({ model, adapter, version }: Model): Model {
  return {
    model,
    ...(adapter === undefined ? {} : { adapter }),
    ...(version === undefined ? {} : { version }),
  };
}
