/** Stand-ins that answer a call as a whole: encoder, retriever, reranker and
 * plain service.
 * @module */

import type * as endpoint from "../src/schema/endpoint_types.ts";
import * as call from "./call.ts";
import * as slots from "./slots.ts";
import * as standIn from "./stand_in.ts";
import * as text from "./text.ts";

/** Kinds that answer as a whole. */
export type SimpleKind = Exclude<endpoint.EndpointKind, "engine">;

/** How fast a simple stand-in works. */
export interface Pace extends slots.Limits {
  /** Milliseconds that each call takes. */
  callTime: number;
  /** Milliseconds that each token of the input adds. */
  tokenTime: number;
}

/** What a simple stand-in is made of. */
export interface Options extends standIn.Options {
  kind: SimpleKind;
  pace?: Partial<Pace>;
}

/** What a call is about, and what it will be answered. */
interface Work {
  owner: string;
  inputTokens: number;
  answer(run: number): Record<string, unknown>;
}

interface Pending {
  made: call.Call;
  work: Work;
  state: "waiting" | "running" | "hung" | "abandoned";
  /** When it began to run, milliseconds of the clock. */
  began: number;
}

const PACES: Record<SimpleKind, Pace> = {
  encoder: { slots: 8, waiting: 200, callTime: 8, tokenTime: 0.01 },
  retriever: { slots: 8, waiting: 200, callTime: 12, tokenTime: 0 },
  reranker: { slots: 4, waiting: 200, callTime: 10, tokenTime: 0.02 },
  plain: { slots: 8, waiting: 200, callTime: 10, tokenTime: 0.001 },
};
const DEFAULT_TOP = 8;
const DOCUMENT_FILLER = "hull plate and course note ";
const DOCUMENT_REPEATS = 6;

/** A stand-in of any kind but an engine. */
export class Simple extends standIn.StandIn {
  readonly kind: SimpleKind;
  readonly #pace: Pace;
  readonly #pending = new Map<string, Pending>();
  #slots: slots.Slots;

  constructor(options: Options) {
    super(options);
    this.kind = options.kind;
    this.#pace = { ...PACES[options.kind], ...options.pace };
    this.#slots = slots.Slots.create(this.#pace);
  }

  announcement(): endpoint.Announcement {
    return {
      service: this.service,
      kind: this.kind,
      url: this.url,
      dataCentre: this.dataCentre,
      slots: this.#pace.slots,
    };
  }

  protected load(): Omit<standIn.Load, "at"> {
    const { running, waiting } = this.#slots;
    return { running: running.length, waiting: waiting.length, kvUsed: 0 };
  }

  protected serve(made: call.Call): void {
    if (this.#slots.full) return this.refuse(made, 429);
    const work = workers[this.kind](made);
    const { callTime, tokenTime } = this.#pace;
    const time = (callTime + tokenTime * work.inputTokens) * made.hit.factor;
    this.#pending.set(made.key, { made, work, state: "waiting", began: 0 });
    made.incoming.reply.onCancel(() => this.#cancel(made.key));
    const { key: id, priority } = made;
    this.#change(this.#slots.add({ id, priority, time }));
  }

  #change({ slots, started }: slots.Change): void {
    this.#slots = slots;
    for (const job of started) this.#begin(job);
  }

  #begin({ id, time }: slots.Job): void {
    const pending = this.#pending.get(id)!;
    const { made, work } = pending;
    pending.state = "running";
    pending.began = this.clock.now();
    this.ledger.run({
      ...made,
      service: this.service,
      endpoint: this.id,
      owner: work.owner,
    });
    const run = this.ledger.runs(work.owner, this.service);
    this.clock.after(time, () => this.#finish(id, run));
  }

  #finish(key: string, run: number): void {
    // A started call runs to its end even when nobody waits for it.
    const pending = this.#pending.get(key)!;
    const { made, work, began } = pending;
    const abandoned = pending.state === "abandoned";
    if (made.hit.hang && !abandoned) {
      pending.state = "hung";
      return;
    }
    this.#pending.delete(key);
    const time = this.clock.now() - began;
    this.ledger.charge({ service: this.service, owner: work.owner }, {
      engineTime: time,
      inputTokens: work.inputTokens,
      cachedTokens: 0,
      outputTokens: 0,
      wasted: abandoned || standIn.spoils(made),
    });
    const usage = { "prompt_tokens": work.inputTokens, "engine_ms": time };
    if (!abandoned) this.deliver(made, { ...work.answer(run), usage });
    this.#change(this.#slots.remove(key));
  }

  #cancel(key: string): void {
    const pending = this.#pending.get(key);
    if (pending === undefined) return;
    const { state } = pending;
    if (state !== "waiting") pending.state = "abandoned";
    if (state === "hung") this.#finish(key, 0);
    if (state !== "waiting") return;
    this.#pending.delete(key);
    this.#change(this.#slots.remove(key));
  }
}

const workers: Record<SimpleKind, (made: call.Call) => Work> = {
  encoder: encode,
  retriever: retrieve,
  reranker: rerank,
  plain: book,
};

function encode({ incoming }: call.Call): Work {
  const { input } = JSON.parse(incoming.body) as { input: string[] };
  const joined = input.join("\n");
  return {
    owner: text.owner(joined),
    inputTokens: text.size(joined),
    answer: () => ({
      data: input.map((value, index) => ({
        index,
        embedding: text.embed(value),
      })),
    }),
  };
}

interface Retrieval {
  embedding?: number[];
  text?: string;
  top?: number;
}

function retrieve({ incoming }: call.Call): Work {
  const asked = JSON.parse(incoming.body) as Retrieval;
  const { embedding = [], text: query = "", top = DEFAULT_TOP } = asked;
  const carried = text.unembed(embedding);
  const named = text.find(query)[0];
  const marks = [carried, named]
    .filter((marker) => marker !== undefined)
    .map((marker) => text.write(marker));
  // Both markers, so that an embedding of another request shows.
  const mark = marks[0] === marks[1] ? marks[0] ?? "" : marks.join(" ");
  return {
    owner: text.owner(mark === "" ? query : mark),
    inputTokens: text.size(query),
    answer: () => ({
      documents: Array.from({ length: top }, (_, pos) => ({
        id: `d${pos}`,
        text: `${mark} d${pos} ${DOCUMENT_FILLER.repeat(DOCUMENT_REPEATS)}`,
        score: 1 / (pos + 1),
      })),
    }),
  };
}

interface Reranking {
  query: string;
  documents: string[];
  "top_n"?: number;
}

function rerank({ incoming }: call.Call): Work {
  const asked = JSON.parse(incoming.body) as Reranking;
  const { query, documents, top_n: top = documents.length } = asked;
  const order = documents
    .map((document, index) => ({ index, document, score: score(document) }))
    .sort((one, other) => other.score - one.score)
    .slice(0, top);
  const joined = [query, ...documents].join("\n");
  return {
    owner: text.owner(joined),
    inputTokens: text.size(joined),
    answer: () => ({
      results: order.map(({ index, document, score }) => ({
        index,
        "relevance_score": score,
        document: { text: document },
      })),
    }),
  };
}

function score(document: string): number {
  return parseInt(text.hash(document).slice(0, 6), 16) / 0x1000000;
}

function book({ incoming }: call.Call): Work {
  const { method, url, body } = incoming;
  const path = decodeURIComponent(`${url.pathname}${url.search}`);
  const asked = `${path}\n${body}`;
  const owner = text.owner(asked);
  return {
    owner,
    inputTokens: text.size(body),
    answer: (run) => ({ method, path: url.pathname, owner, run, end: owner }),
  };
}
