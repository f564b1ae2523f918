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

const POOLS: readonly Service[] = [
  { name: "encoder", kind: "encoder", endpoints: 3 },
  { name: "retriever", kind: "retriever", endpoints: 3 },
  { name: "reranker", kind: "reranker", endpoints: 3 },
];

/** Kivu Hull Care Authority. */
export const kivu: Deployment = {
  name: "kivu",
  dataCentres: ["gisenyi-hall", "nyamyumba-hall", "town-hall"],
  services: [
    { name: "lm-pool", kind: "engine", endpoints: 6, model: "hull" },
    ...POOLS,
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
    { name: "course-model", kind: "engine", endpoints: 6, model: "course" },
    ...POOLS,
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
