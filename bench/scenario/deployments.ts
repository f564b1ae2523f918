/** The two deployments as assumed for measurements. The brief names the pools
 * and their sizes; which service does which stage, and all times, sizes and
 * shares, are assumptions.
 * @module */

import type * as endpoint from "../../src/schema/endpoint_types.ts";
import type * as deployment from "./deployment.ts";

/** Tokens of the documents that retrieval finds, before and after ranking. */
const FOUND = 1500;
const KEPT = 600;

function chain(
  names: { encoder: string; retriever: string; reranker: string; lm: string },
  maxTokens: number,
): deployment.Stage[] {
  const none = { maxTokens: 0 };
  return [
    {
      name: "encode",
      service: names.encoder,
      kind: "encoder",
      ...none,
      sizeOf: (size) => size,
    },
    {
      name: "retrieve",
      service: names.retriever,
      kind: "retriever",
      ...none,
      sizeOf: () => 50,
    },
    {
      name: "rerank",
      service: names.reranker,
      kind: "reranker",
      ...none,
      sizeOf: () => FOUND,
    },
    {
      name: "generate",
      service: names.lm,
      kind: "engine",
      maxTokens,
      sizeOf: (size) => size + KEPT,
    },
  ];
}

function plain(name: string, service: string): deployment.Stage[] {
  const sizeOf = (size: number) => size;
  return [{ name, service, kind: "plain", maxTokens: 0, sizeOf }];
}

function createEngines(service: string): deployment.Pool {
  return {
    service,
    kind: "engine",
    endpoints: 6,
    slots: 8,
    constant: 30,
    input: 0.15,
    output: 12,
  };
}

function createPool(
  service: string,
  kind: endpoint.EndpointKind,
  endpoints: number,
): deployment.Pool {
  const times = { constant: 15, input: 0.03, output: 0 };
  return { service, kind, endpoints, slots: 4, ...times };
}

const KIVU_CHAIN = {
  encoder: "dive-desk",
  retriever: "vessel-registry",
  reranker: "gear-log",
  lm: "lm-pool",
};

/** Kivu Hull Care Authority: attainment weighs more. */
const kivu: deployment.Deployment = {
  name: "kivu",
  dataCentres: ["gisenyi-hall", "nyamyumba-hall", "town-hall"],
  pools: [
    createEngines("lm-pool"),
    createPool("dive-desk", "encoder", 3),
    createPool("vessel-registry", "retriever", 3),
    createPool("gear-log", "reranker", 4),
    createPool("billing", "plain", 4),
  ],
  kinds: [
    {
      name: "plan",
      stages: chain(KIVU_CHAIN, 600),
      size: 6000,
      spread: 0.6,
      deadline: 45_000,
      share: 0.15,
      idempotent: true,
      weight: 2,
    },
    {
      name: "summary",
      stages: chain(KIVU_CHAIN, 300),
      size: 2000,
      spread: 0.5,
      deadline: 20_000,
      share: 0.2,
      idempotent: true,
      weight: 1,
    },
    {
      name: "question",
      stages: chain(KIVU_CHAIN, 120),
      size: 200,
      spread: 0.5,
      deadline: 6000,
      share: 0.55,
      idempotent: true,
      weight: 1,
    },
    {
      name: "booking",
      stages: plain("book", "billing"),
      size: 100,
      spread: 0.3,
      deadline: 4000,
      share: 0.1,
      idempotent: false,
      weight: 2,
    },
  ],
  accounts: [
    { name: "crews", weight: 8, share: 0.2, spend: 0.2 },
    { name: "clerks", weight: 2, share: 0.4, spend: 0.1 },
    { name: "divers", weight: 2, share: 0.3, spend: 0.1 },
    { name: "owners", weight: 1, share: 0.07, spend: 0.05 },
    { name: "audit", weight: 1, share: 0.03, spend: 0 },
  ],
};

const TRAN_GIA_CHAIN = {
  encoder: "entry-desk",
  retriever: "results-board",
  reranker: "map-store",
  lm: "course-model",
};

/** Tran Gia Orienteering Entries: cost by stage weighs more. */
const tranGia: deployment.Deployment = {
  name: "tran-gia",
  dataCentres: ["ha-noi-hall", "tam-dao", "ba-vi"],
  pools: [
    createEngines("course-model"),
    createPool("entry-desk", "encoder", 3),
    createPool("results-board", "retriever", 3),
    createPool("map-store", "reranker", 4),
    createPool("club-ledger", "plain", 3),
  ],
  kinds: [
    {
      name: "roster",
      stages: chain(TRAN_GIA_CHAIN, 500),
      size: 4000,
      spread: 0.7,
      deadline: 40_000,
      share: 0.15,
      idempotent: true,
      weight: 1,
    },
    {
      name: "start-time",
      stages: chain(TRAN_GIA_CHAIN, 80),
      size: 120,
      spread: 0.4,
      deadline: 5000,
      share: 0.55,
      idempotent: true,
      weight: 1,
    },
    {
      name: "bib",
      stages: chain(TRAN_GIA_CHAIN, 60),
      size: 80,
      spread: 0.3,
      deadline: 3000,
      share: 0.15,
      idempotent: true,
      weight: 4,
    },
    {
      name: "entry",
      stages: plain("enter", "club-ledger"),
      size: 150,
      spread: 0.3,
      deadline: 4000,
      share: 0.15,
      idempotent: false,
      weight: 4,
    },
  ],
  accounts: [
    { name: "marshals", weight: 8, share: 0.2, spend: 0.05 },
    { name: "clubs-north", weight: 2, share: 0.35, spend: 0.02 },
    { name: "clubs-east", weight: 2, share: 0.3, spend: 0.02 },
    { name: "parents", weight: 1, share: 0.1, spend: 0 },
    { name: "press", weight: 1, share: 0.05, spend: 0 },
  ],
};

/** Both deployments. */
export const DEPLOYMENTS: readonly deployment.Deployment[] = [kivu, tranGia];
