/** The main job in one process: Kivu's pipelines on made-up inspection
 * histories, against stand-ins on loopback, with a report at the end.
 * @module */

import * as random from "../src/runtime/random.ts";
import * as embedded from "./experiment/embedded.ts";
import type * as target from "./experiment/target.ts";
import * as demoReport from "./demo_report.ts";
import * as histories from "./histories.ts";
import * as undici from "undici";

const SEED = 20;
const REQUESTS = 60;
/** Milliseconds between two requests. */
const PACE = 150;
const DEADLINE = 9_000;

/** What one kind of caller asks for. */
interface Caller {
  account: string;
  kind: string;
  pipeline: string;
  /** Inspections in the history. */
  inspections: number;
  question: string;
  /** Tokens of the answer. */
  tokens: number;
}

const CALLERS: readonly Caller[] = [
  {
    account: "dive-crews",
    kind: "dive-plan",
    pipeline: "dive-plan",
    inspections: 40,
    question: "Which sections of the hull come first, and why?",
    tokens: 180,
  },
  {
    account: "harbour-clerks",
    kind: "summary",
    pipeline: "fouling-summary",
    inspections: 12,
    question: "What has changed since the last report?",
    tokens: 90,
  },
  {
    account: "dock-divers",
    kind: "question",
    pipeline: "dock-question",
    inspections: 2,
    question: "Is the sea chest grating loose?",
    tokens: 30,
  },
];

async function main(): Promise<void> {
  console.error("Starting a host and Kivu's stand-ins on loopback");
  const system = await embedded.start({ deployment: "kivu", seed: SEED });
  try {
    const answers = await askAll(system);
    const totals = await system.ledger();
    console.log(demoReport.write(answers, totals));
    const whole = answers.every(({ whole }) => whole);
    if (!whole) process.exitCode = 1;
  } finally {
    await system.stop();
  }
}

async function askAll(
  { hosts: [url] }: target.Target,
): Promise<demoReport.Answer[]> {
  const source = random.create(SEED);
  const asked: Promise<demoReport.Answer>[] = [];
  let done = 0;
  for (let pos = 0; pos < REQUESTS; pos++) {
    const caller = CALLERS[pos % CALLERS.length];
    const history = histories.write(source, caller);
    const answer = ask(url, { caller, history });
    asked.push(answer.finally(() => done++));
    await pause(PACE);
    if (pos % 10 === 9) console.error(`sent ${pos + 1}, answered ${done}`);
  }
  return await Promise.all(asked);
}

interface Asked {
  caller: Caller;
  history: histories.History;
}

async function ask(
  url: string,
  { caller, history }: Asked,
): Promise<demoReport.Answer> {
  const { account, kind, pipeline, question, tokens } = caller;
  const started = performance.now();
  const { statusCode, body } = await undici.request(
    `${url}/v1/pipelines/${pipeline}`,
    {
      method: "POST",
      headers: {
        "authorization": `Bearer sample-${account}`,
        "content-type": "application/json",
        "chicoryloft-kind": kind,
        "chicoryloft-deadline": String(DEADLINE),
      },
      body: JSON.stringify({
        input: { text: history.text, question: `${history.file}: ${question}` },
        maxTokens: tokens,
      }),
    },
  );
  const answer = await body.json() as demoReport.Body;
  const time = performance.now() - started;
  return {
    account,
    vessel: history.vessel,
    time,
    onTime: statusCode === 200 && time <= DEADLINE,
    whole: statusCode === 200 && answer.output!.text === history.expected,
    body: answer,
  };
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

await main();
