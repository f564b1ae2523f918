/** The report that the demo prints.
 * @module */

import type * as ledger from "./ledger.ts";

/** What the callers' interface answered. */
export interface Body {
  output?: { text: string };
  stages?: readonly Stage[];
  detail?: string;
}

/** One stage of an answer. */
export interface Stage {
  name: string;
  service: string;
  endpoint: string;
  milliseconds: number;
  attempts: number;
}

/** One request of the demo and its answer. */
export interface Answer {
  account: string;
  vessel: string;
  /** Milliseconds. */
  time: number;
  onTime: boolean;
  /** Whether the text is the one that belongs to the request. */
  whole: boolean;
  body: Body;
}

/** Writes attainment by account, cost by stage and one answer's way. */
export function write(
  answers: readonly Answer[],
  totals: ledger.Totals,
): string {
  const accounts = [...new Set(answers.map(({ account }) => account))];
  return [
    title("Attainment by client account"),
    row(["account", "requests", "whole", "on time", "slowest"]),
    ...accounts.map((account) =>
      row(attainment(account, answers.filter((a) => a.account === account)))
    ),
    row(attainment("all", answers)),
    title("Cost by stage"),
    row(["service", "calls", "engine ms", "tokens in", "tokens out"]),
    ...Object.entries(totals.costs).filter(([, { calls }]) => calls > 0)
      .map(([service, cost]) => row(costOf(service, cost))),
    title(`One dive plan: ${answers[0].vessel}`),
    row(["stage", "endpoint", "ms", "attempts", ""]),
    ...(answers[0].body.stages ?? []).map((stage) => row(stageOf(stage))),
    ...answers.filter(({ whole }) => !whole)
      .map(({ vessel, body }) => `not whole: ${vessel}: ${body.detail}`),
  ].join("\n");
}

const COLUMN = 18;

function title(text: string): string {
  return `\n${text}`;
}

function row(cells: readonly string[]): string {
  return `  ${cells.map((cell) => cell.padEnd(COLUMN)).join("")}`.trimEnd();
}

function attainment(name: string, answers: readonly Answer[]): string[] {
  const share = (count: number) => percent(count / answers.length);
  return [
    name,
    String(answers.length),
    share(answers.filter(({ whole }) => whole).length),
    share(answers.filter(({ whole, onTime }) => whole && onTime).length),
    `${Math.round(Math.max(...answers.map(({ time }) => time)))} ms`,
  ];
}

function costOf(service: string, cost: ledger.Cost): string[] {
  const { calls, engineTime, inputTokens, outputTokens } = cost;
  const numbers = [calls, engineTime, inputTokens, outputTokens];
  return [service, ...numbers.map((number) => String(Math.round(number)))];
}

function stageOf({ name, endpoint, milliseconds, attempts }: Stage): string[] {
  return [
    name,
    endpoint,
    String(Math.round(milliseconds)),
    String(attempts),
    "",
  ];
}

function percent(share: number): string {
  return `${(share * 100).toFixed(1)} %`;
}
