/** SIGTERM in the middle of 50 streams through one host: none is cut off.
 * @module */

import * as undici from "undici";
import type * as plan from "../../standins/experiment/plan.ts";
import type * as verify from "../../standins/experiment/verify.ts";
import type * as finding from "./finding.ts";
import * as fleets from "./fleet.ts";
import * as requests from "./requests.ts";
import * as sites from "./site.ts";
import * as witnesses from "./witness.ts";

const FOLDER = "out/drain";
const STREAMS = 50;
/** Milliseconds that all of these streams may take. */
const DEADLINE = 9_000;
/** Milliseconds past the deadline that a caller waits. */
const PATIENCE = 5_000;
/** Tokens of one answer, so that streams last for seconds. */
const TOKENS = 100;
/** Milliseconds from the first stream to the signal. */
const MIDDLE = 700;
/** Milliseconds between two looks or two requests during the drain. */
const LOOK = 20;
const NEXT = 50;
/** Milliseconds in which the process must have ended. */
const END = 20_000;

/** What one drain showed. */
interface Drained {
  host: string;
  voter: boolean;
  streams: number;
  /** Streams that were whole before the signal. */
  before: number;
  /** Streams under way at the signal that had begun to run. */
  underWay: number;
  replies: Record<string, number>;
  /** Exit code; absent when the process did not end in time. */
  code: number | null | undefined;
  /** Milliseconds from the signal to the last reply, and to the exit. */
  lastReply: number;
  exit: number;
  /** Answers of `/health` during the drain, by status. */
  health: Record<string, number>;
  /** Requests sent to the draining host first during the drain. */
  during: During;
}

interface During {
  sent: number;
  /** Refused by the draining host as not run, or no connection made. */
  refused: number;
  /** Answered whole by another host after that. */
  answered: number;
}

/** Drains one host that votes and one that does not. */
export async function measure(
  { settings }: finding.Options,
): Promise<finding.Finding> {
  const site = sites.Site.create(settings, FOLDER);
  try {
    await site.start();
    sites.tell("six daemons and their endpoints are ready");
    const [voter] = site.fleet.voters;
    const other = site.fleet.hosts.find((host) =>
      !site.fleet.voters.includes(host)
    )!;
    const drains = [
      await drain(site, { host: other, busy: false }),
      await drain(site, { host: voter, busy: true }),
    ];
    const verdict = site.witness.judge([]);
    const count = (holds: (one: Drained) => boolean) =>
      drains.filter((one) => !holds(one)).length;
    return {
      breaches: {
        ...verdict.breaches,
        "stream-not-whole": count(({ replies, streams }) =>
          replies.answer === streams
        ),
        "exit-code": count(({ code }) => code === 0),
        "health-not-503": count(({ health }) => health["503"] > 0),
        "unanswered-beside": count(({ during }) =>
          during.answered === during.sent
        ),
      },
      figures: { drains, verdict },
    };
  } finally {
    await site.stop();
  }
}

interface Target {
  host: string;
  /** Whether requests come during the drain, with another host to go to. */
  busy: boolean;
}

async function drain(site: sites.Site, target: Target): Promise<Drained> {
  const { host, busy } = target;
  const { fleet, witness, standIns: { ledger } } = site;
  const url = fleet.callersUrl(host);
  const planned = Array.from({ length: STREAMS }, () => stream());
  let ended = 0;
  const replying = Promise.all(planned.map(async (one) => {
    const reply = await witness.send(one, tryAt(url));
    ended++;
    return { reply, at: performance.now() };
  }));
  await fleets.pause(MIDDLE);
  const before = ended;
  const running = planned.filter(({ marker }) =>
    ledger.runs(marker.id, "lm-pool") > 0
  );
  const from = performance.now();
  const daemon = fleet.daemon(host);
  daemon.signal("SIGTERM");
  sites.tell(`SIGTERM to ${host}, ${STREAMS - before} streams under way`);
  const looking = look(url, () => !daemon.running);
  const during = busy
    ? send(site, { host, over: () => !daemon.running })
    : Promise.resolve({ sent: 0, refused: 0, answered: 0 });
  const code = await Promise.race([
    daemon.ended(),
    fleets.pause(END).then(() => undefined),
  ]);
  const exit = Math.round(performance.now() - from);
  if (code === undefined) await fleet.kill(host);
  const replies = await replying;
  sites.tell(`${host} ended with ${code} after ${exit} ms`);
  const names: Record<string, number> = {};
  for (const { reply } of replies) {
    const name = witnesses.describe(reply);
    names[name] = (names[name] ?? 0) + 1;
  }
  return {
    host,
    voter: fleet.voters.includes(host),
    streams: STREAMS,
    before,
    underWay: running.length - before,
    replies: names,
    code,
    lastReply: Math.round(Math.max(...replies.map(({ at }) => at)) - from),
    exit,
    health: await looking,
    during: await during,
  };
}

function stream(): plan.Planned {
  return requests.create("plan", { deadline: DEADLINE, maxTokens: TOKENS });
}

function tryAt(host: string) {
  return { host, left: DEADLINE, patience: DEADLINE + PATIENCE };
}

/** Statuses of `/health` until `over`. */
async function look(
  url: string,
  over: () => boolean,
): Promise<Record<string, number>> {
  const found: Record<string, number> = {};
  while (!over()) {
    const name = await health(url);
    found[name] = (found[name] ?? 0) + 1;
    await fleets.pause(LOOK);
  }
  return found;
}

async function health(url: string): Promise<string> {
  try {
    const { statusCode, body } = await undici.request(`${url}/health`, {
      signal: AbortSignal.timeout(1_000),
      reset: true,
    });
    await body.dump();
    return String(statusCode);
  } catch {
    return "no answer";
  }
}

/** Sends questions to the draining host, and to another when refused. */
async function send(
  site: sites.Site,
  { host, over }: { host: string; over: () => boolean },
): Promise<During> {
  const { fleet, witness } = site;
  const url = fleet.callersUrl(host);
  const next = fleet.hosts.find((one) => one !== host)!;
  const during: During = { sent: 0, refused: 0, answered: 0 };
  const asked: Promise<void>[] = [];
  while (!over()) {
    during.sent++;
    asked.push(ask());
    await fleets.pause(NEXT);
  }
  await Promise.all(asked);
  return during;

  async function ask(): Promise<void> {
    const planned = requests.create("question");
    const first = refusedBy(await health(url))
      ? undefined
      : await witness.send(planned, tryAt(url));
    if (first?.type === "answer") return void during.answered++;
    during.refused++;
    const other = fleet.callersUrl(next);
    const reply: verify.Reply = await witness.send(planned, tryAt(other));
    if (reply.type === "answer") during.answered++;
  }
}

/** Whether the balancer would pass a host by. */
function refusedBy(status: string): boolean {
  return status !== "200" && status !== "503";
}
