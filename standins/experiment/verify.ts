/** Checks that an answer is whole and the asker's own, and that what ran
 * agrees with what the asker was told.
 * @module */

import type * as ledger from "../ledger.ts";
import type * as text from "../text.ts";

/** A `token` event of a stream. */
export interface Part {
  offset: number;
  text: string;
}

/** Time of one stage, as an answer gives it. */
export interface Stage {
  name: string;
  service: string;
  milliseconds: number;
  attempts: number;
}

/** How a request ended for its caller. */
export type Reply =
  | {
    type: "answer";
    text: string;
    /** Events of a streamed answer. */
    parts?: readonly Part[];
    /** `done` events of a streamed answer. */
    ends?: number;
    stages: readonly Stage[];
  }
  | {
    type: "plain";
    body: string;
  }
  | {
    type: "problem";
    status: number;
    name: string;
    outcome: string;
    /** Milliseconds; absent when a retry does not help. */
    retryAfter?: number;
  }
  /** The connection could not be made, or broke before the end. */
  | { type: "broken"; detail: string }
  /** Nothing final came while the caller waited. */
  | { type: "silence" };

/** What must never happen. */
export type Violation =
  | "crossed"
  | "truncated"
  | "doubled"
  | "gap"
  | "garbled"
  | "run-twice"
  | "ran-though-refused"
  | "answered-without-run"
  | "no-final-answer";

/** What the verifier knows of a request. */
export interface Expectation {
  marker: text.Marker;
  /** Most tokens that were asked for. */
  maxTokens?: number;
  idempotent: boolean;
}

type Checker = (
  expected: Expectation,
  reply: never,
) => Violation | undefined;

const WORD = /^([wz])(\d+)-([0-9a-z]+)$/;

/** What is wrong with a reply, whatever ran. */
export function checkReply(
  expected: Expectation,
  reply: Reply,
): Violation | undefined {
  return checkers[reply.type](expected, reply as never);
}

const checkers: Record<Reply["type"], Checker> = {
  answer: (expected, { text, parts, ends }: Reply & { type: "answer" }) =>
    (parts === undefined ? undefined : checkParts(parts, ends ?? 0)) ??
      checkText(expected, text),
  plain: ({ marker }, { body }: Reply & { type: "plain" }) =>
    checkPlain(marker, body),
  problem: () => undefined,
  broken: () => undefined,
  silence: () => "no-final-answer",
};

/** What is wrong with the text of an engine's answer. */
export function checkText(
  { marker, maxTokens }: Expectation,
  body: string,
): Violation | undefined {
  const length = Math.min(marker.length, maxTokens ?? Infinity);
  const words = body === "" ? [] : body.split(" ");
  for (const [pos, word] of words.entries()) {
    const found = WORD.exec(word);
    if (found === null) return "garbled";
    const [, letter, number, owner] = found;
    if (owner !== marker.id) return "crossed";
    if (Number(number) < pos) return "doubled";
    if (Number(number) > pos) return "gap";
    if (pos >= length) return "doubled";
    if (letter === "z" && pos < length - 1) return "truncated";
  }
  const last = words[length - 1]?.[0];
  return words.length === length && last === "z" ? undefined : "truncated";
}

/** What is wrong with the events of a stream. */
export function checkParts(
  parts: readonly Part[],
  ends: number,
): Violation | undefined {
  let count = 0;
  for (const { offset, text } of parts) {
    if (offset < count) return "doubled";
    if (offset > count) return "gap";
    count += text.trim().split(" ").length;
  }
  if (ends > 1) return "doubled";
  return ends === 1 ? undefined : "truncated";
}

function checkPlain(
  marker: text.Marker,
  body: string,
): Violation | undefined {
  let value: { owner?: unknown; end?: unknown };
  try {
    value = JSON.parse(body);
  } catch {
    return "truncated";
  }
  if (value.owner !== marker.id) return "crossed";
  return value.end === marker.id ? undefined : "truncated";
}

/** What is wrong with what ran, by service, given the reply. */
export function checkRuns(
  { idempotent }: Expectation,
  reply: Reply,
  shares: Readonly<Record<string, ledger.Share>> = {},
): Violation | undefined {
  const found = Object.values(shares);
  if (!idempotent && found.some(({ most }) => most > 1)) return "run-twice";
  const ran = found.some(({ runs }) => runs > 0);
  if (reply.type === "problem" && reply.outcome === "not-run" && ran) {
    return "ran-though-refused";
  }
  const answered = reply.type === "answer" || reply.type === "plain";
  return answered && !ran ? "answered-without-run" : undefined;
}
