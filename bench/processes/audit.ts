/** Checks what callers were told against what ran at the stand-ins.
 * @module */

import * as verify from "../../standins/experiment/verify.ts";
import type * as ledger from "../../standins/ledger.ts";

/** One try of a request at one host. */
export interface Attempt {
  host: string;
  /** Milliseconds of the run's clock. */
  sent: number;
  ended: number;
  reply: verify.Reply;
  /** Runs of the request at the stand-ins when the reply came. */
  runs: number;
}

/** A request with all its tries, in the order in which they ended. */
export interface Case {
  expected: verify.Expectation;
  attempts: readonly Attempt[];
}

/** A time in which a host was down, stopped, or had just come back. */
export interface Disturbance {
  host: string;
  from: number;
  to: number;
}

/** What the checks need beside the case. */
export interface Evidence {
  shares?: Readonly<Record<string, ledger.Share>>;
  disturbances: readonly Disturbance[];
}

/** What must never happen. */
export type Breach =
  | verify.Violation
  /** A connection broke though its host was well. */
  | "cut-off"
  /** Two answers under one key differ. */
  | "changed-answer";

/** Everything that is wrong with a case. */
export function check(made: Case, evidence: Evidence): Breach[] {
  const found = made.attempts.flatMap((attempt) => [
    checkReply(made, { attempt, evidence }),
    checkRefusal(made, { attempt, evidence }),
    checkAnswer(made, { attempt, evidence }),
  ]);
  const all = [...found, checkRuns(made, evidence), checkSame(made)];
  return [...new Set(all)].filter((breach) => breach !== undefined);
}

interface Subject {
  attempt: Attempt;
  evidence: Evidence;
}

function checkReply(
  { expected }: Case,
  { attempt, evidence }: Subject,
): Breach | undefined {
  const { reply } = attempt;
  const lost = reply.type === "broken" || reply.type === "silence";
  if (!lost) return verify.checkReply(expected, reply);
  if (disturbed(attempt, evidence.disturbances)) return undefined;
  return reply.type === "broken" ? "cut-off" : "no-final-answer";
}

function disturbed(
  { host, sent, ended }: Attempt,
  disturbances: readonly Disturbance[],
): boolean {
  return disturbances.some((one) =>
    one.host === host && one.from <= ended && one.to >= sent
  );
}

/** A refusal as not run must be true when it comes, and stay true unless the
 * caller asks again. */
function checkRefusal(
  { attempts }: Case,
  { attempt, evidence }: Subject,
): Breach | undefined {
  const { reply } = attempt;
  if (reply.type !== "problem" || reply.outcome !== "not-run") return undefined;
  const others = attempts.filter((other) => other !== attempt);
  // A try under way at the same time may run, which this answer is not about.
  if (others.some((other) => overlap(attempt, other))) return undefined;
  const later = others.some(({ sent }) => sent >= attempt.ended);
  const runs = later ? attempt.runs : total(evidence.shares);
  return runs > 0 ? "ran-though-refused" : undefined;
}

function overlap(one: Attempt, other: Attempt): boolean {
  return one.sent < other.ended && other.sent < one.ended;
}

function checkAnswer(
  _made: Case,
  { attempt, evidence }: Subject,
): Breach | undefined {
  const { type } = attempt.reply;
  const answered = type === "answer" || type === "plain";
  return answered && total(evidence.shares) === 0
    ? "answered-without-run"
    : undefined;
}

function checkRuns(
  { expected }: Case,
  { shares = {} }: Evidence,
): Breach | undefined {
  const twice = Object.values(shares).some(({ most }) => most > 1);
  return !expected.idempotent && twice ? "run-twice" : undefined;
}

function checkSame({ expected, attempts }: Case): Breach | undefined {
  if (expected.idempotent) return undefined;
  const bodies = attempts.flatMap(({ reply }) =>
    reply.type === "plain" ? [reply.body] : []
  );
  return new Set(bodies).size > 1 ? "changed-answer" : undefined;
}

function total(shares: Evidence["shares"] = {}): number {
  return Object.values(shares).reduce((sum, { runs }) => sum + runs, 0);
}
