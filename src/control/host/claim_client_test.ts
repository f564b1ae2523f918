import test from "ava";
import type * as command from "../../schema/command_types.ts";
import type * as table from "../table/mod.ts";
import * as claimClient from "./claim_client.ts";
import * as errors from "./errors.ts";

const CLAIM = {
  account: "fishing-boats",
  key: "k1",
  fingerprint: "f".repeat(64),
  request: "r1",
  remaining: 5_000,
};

/** Creates a client whose proposals get `answers` in turn, and fail for want
 * of a quorum once these are used up. */
function createClient(answers: unknown[]) {
  const proposed: command.Command[] = [];
  const client = claimClient.ClaimClient.create({
    self: "h1",
    incarnation: 1,
    announce: () => Promise.resolve(1),
    propose(command) {
      proposed.push(command);
      const answer = answers.shift();
      return answer === undefined
        ? Promise.reject(new errors.ControlError("no-quorum", "No leader"))
        : Promise.resolve(answer as table.Reply);
    },
  });
  return { client, proposed };
}

// An earlier request with the key may have run, so the outcome is unknown.
test("a claim without a quorum is refused with an unknown outcome", async (t) => {
  const { client, proposed } = createClient([]);
  const result = await client.claim(CLAIM);
  t.like(result, { type: "refused", outcome: "unknown" });
  t.like(proposed, [{ type: "claim" }, { type: "settle", outcome: "not-run" }]);
  t.is(client.size, 0);
});

test("a claim past the maximum count is refused as not run", async (t) => {
  const { client } = createClient([{ type: "full" }]);
  const result = await client.claim(CLAIM);
  t.like(result, { type: "refused", outcome: "not-run" });
});

// Guards against a claim that is released, or stored with an answer that may be a
// part: the request ran, and must neither run again nor look answered whole.
test("an answer that is not kept settles its claim as ran", async (t) => {
  const { client, proposed } = createClient([
    { type: "granted" },
    { type: "settled" },
    { type: "ended", outcome: "ran" },
  ]);
  await client.claim(CLAIM);
  client.settle(CLAIM, "not-kept");
  await client.flush();
  t.like(proposed[1], { type: "settle", outcome: "ran", answer: undefined });
  const resend = await client.claim({ ...CLAIM, request: "r2" });
  t.like(resend, { type: "refused", outcome: "ran" });
});
