/** Results of stages whose answers state no end of their own and are cut off.
 * @module */

import type * as http from "node:http";
import type * as ava from "ava";
import test from "ava";
import type * as settings from "../schema/settings_types.ts";
import * as fakePath from "./fake_path.ts";

/** Sends the first `length` bytes of a body, without a length or chunks, and ends
 * the connection. */
function sendCut(
  response: http.ServerResponse,
  { body, length }: { body: string; length: number },
): void {
  response.useChunkedEncodingByDefault = false;
  response.setHeader("connection", "close");
  response.flushHeaders();
  response.end(body.slice(0, length));
}

/** Answers of `serve` cut off at a length that the test sets. */
function cutServe(serve: fakePath.Serve) {
  const cut = { length: Infinity, bodyLength: 0 };
  const cutting: fakePath.Serve = (incoming, response, sent) => {
    let body = "";
    const recorded = Object.create(response, {
      end: {
        value(text: string) {
          body += text;
          cut.bodyLength = body.length;
          sendCut(response, { body, length: cut.length });
        },
      },
      write: { value: (text: string) => body += text },
      writeHead: { value: () => recorded },
    });
    serve(incoming, recorded, sent);
  };
  return { cut, cutting };
}

/** Starts a path on which the answers of one service are cut off. */
async function start(
  t: ava.ExecutionContext,
  { service, endpoints, stages }: {
    service: string;
    endpoints: Record<string, fakePath.Serve>;
    stages: settings.Pipeline["stages"];
  },
) {
  const { cut, cutting } = cutServe(endpoints[service]);
  const created = fakePath.settingsOf();
  created.pipelines = [{ name: "cut", deadline: 20_000, stages }];
  const started = await fakePath.start(
    { ...endpoints, [service]: cutting },
    { settings: created },
  );
  t.teardown(() => started.stop());
  const ask = () =>
    fakePath.post(`${started.url}/v1/pipelines/cut`, {
      input: { text: "one two", question: "which" },
    }, { headers: { "chicoryloft-idempotent": "false" } });
  return { cut, ask };
}

const STAGES: Record<string, settings.Pipeline["stages"]> = {
  enc: [{ name: "encode", service: "enc" }],
  ret: [
    { name: "encode", service: "enc" },
    { name: "retrieve", service: "ret", top: 2 },
  ],
  rank: [
    { name: "encode", service: "enc" },
    { name: "retrieve", service: "ret", top: 2 },
    { name: "rerank", service: "rank", top: 2 },
  ],
  "lm-pool@1": [{ name: "generate", service: "lm-pool" }],
};

for (const [service, list] of Object.entries(STAGES)) {
  // Guards against a part of a stage's answer that is taken for the whole: one
  // that still parses, or a stream without its last events.
  test(`no part of an answer of ${service} is taken for the whole`, async (t) => {
    const { cut, ask } = await start(t, {
      service,
      endpoints: fakePath.allEndpoints,
      stages: list,
    });
    const whole = await ask();
    t.is(whole.status, 200);
    const { bodyLength } = cut;
    t.true(bodyLength > 50);
    for (let length = 0; length < bodyLength; length++) {
      cut.length = length;
      const answer = await ask();
      t.is(answer.status, 502, `cut at ${length} of ${bodyLength}`);
    }
  });
}

// Guards against a part of a plain answer, such as `12` of `123`, in a pipeline's
// answer, which can't say that its text may be a part.
test("a plain answer that states no end is no result of a pipeline", async (t) => {
  const { cut, ask } = await start(t, {
    service: "billing",
    endpoints: { billing: (_incoming, response) => response.end("123") },
    stages: [{ name: "bill", service: "billing" }],
  });
  for (const length of [0, 1, 2, 3]) {
    cut.length = length;
    t.like(await ask(), { status: 502, body: { outcome: "unknown" } });
  }
});

test("a plain answer that states its end is the result of a pipeline", async (t) => {
  const created = fakePath.settingsOf();
  created.pipelines = [{
    name: "cut",
    deadline: 20_000,
    stages: [{ name: "bill", service: "billing" }],
  }];
  const started = await fakePath.start({
    billing: (_incoming, response) => response.end("123"),
  }, { settings: created });
  t.teardown(() => started.stop());
  const answer = await fakePath.post(`${started.url}/v1/pipelines/cut`, {
    input: { text: "one" },
  });
  t.like(answer, { status: 200, body: { output: { text: "123" } } });
});
