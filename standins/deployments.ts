/** The two deployments of today, as stand-ins play them.
 * @module */

import type * as endpoint from "../src/schema/endpoint_types.ts";

/** One service of a deployment. */
export interface Service {
  name: string;
  kind: endpoint.EndpointKind;
  /** How many endpoints serve it. */
  endpoints: number;
  /** Model of an engine. */
  model?: string;
}

/** Services and places of one user. */
export interface Deployment {
  name: string;
  dataCentres: readonly string[];
  services: readonly Service[];
}

/** Kivu Hull Care Authority. */
export const kivu: Deployment = {
  name: "kivu",
  dataCentres: ["gisenyi-hall", "nyamyumba-hall", "town-hall"],
  services: [
    { name: "lm-pool", kind: "engine", endpoints: 6, model: "hull-writer" },
    { name: "encoders", kind: "encoder", endpoints: 3 },
    { name: "histories", kind: "retriever", endpoints: 3 },
    { name: "rerankers", kind: "reranker", endpoints: 3 },
    { name: "dive-desk", kind: "plain", endpoints: 3 },
    { name: "vessel-registry", kind: "plain", endpoints: 3 },
    { name: "gear-log", kind: "plain", endpoints: 4 },
    { name: "billing", kind: "plain", endpoints: 4 },
  ],
};

/** Tran Gia Orienteering Entries. */
export const tranGia: Deployment = {
  name: "tran-gia",
  dataCentres: ["ha-noi-hall", "tam-dao", "ba-vi"],
  services: [
    {
      name: "course-model",
      kind: "engine",
      endpoints: 6,
      model: "course-setter",
    },
    { name: "encoders", kind: "encoder", endpoints: 3 },
    { name: "courses", kind: "retriever", endpoints: 3 },
    { name: "rerankers", kind: "reranker", endpoints: 3 },
    { name: "entry-desk", kind: "plain", endpoints: 3 },
    { name: "results-board", kind: "plain", endpoints: 3 },
    { name: "club-ledger", kind: "plain", endpoints: 3 },
    { name: "map-store", kind: "plain", endpoints: 4 },
  ],
};

/** Both, by name. */
export const deployments: Readonly<Record<string, Deployment>> = {
  [kivu.name]: kivu,
  [tranGia.name]: tranGia,
};
