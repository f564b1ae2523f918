import test from "ava";
import type * as command from "../../schema/command_types.ts";
import type * as table from "../table/mod.ts";
import * as claimKeeper from "./claim_client.ts";
import * as errors from "./errors.ts";

const CLAIM = {
  account: "fishing-boats",
  key: "k1",
  fingerprint: "f".repeat(64),
  request: "r1",
  remaining: 5_000,
};

/** A keeper whose proposals meet with `answers`, then with no quorum. */
function keeperOf(answers: unknown[]) {
  const proposed: command.Command[] = [];
  const keeper = claimKeeper.ClaimClient.create({
    self: "h1",
    incarnation: 1,
    announce: () => Promise.resolve(1),
    propose(made) {
      proposed.push(made);
      const answer = answers.shift();
      return answer === undefined
        ? Promise.reject(new errors.ControlError("no-quorum", "No leader"))
        : Promise.resolve(answer as table.Reply);
    },
  });
  return { keeper, proposed };
}

test("a key that no quorum knows of is not said to be unused", async (t) => {
  const { keeper, proposed } = keeperOf([]);
  const result = await keeper.claim(CLAIM);
  t.like(result, { type: "refused", outcome: "unknown" });
  t.like(proposed, [{ type: "claim" }, { type: "settle", outcome: "not-run" }]);
  t.is(keeper.size, 0);
});

test("too many claims are said to be a refusal as not run", async (t) => {
  const { keeper } = keeperOf([{ type: "full" }]);
  const result = await keeper.claim(CLAIM);
  t.like(result, { type: "refused", outcome: "not-run" });
});
