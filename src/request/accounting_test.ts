import test from "ava";
import * as fakePath from "./fake_path.ts";

test("counts results by account and wasted calls by cause", async (t) => {
  const broken = fakePath.generate({ breakAt: 3 });
  const serves = { "lm-pool@1": broken, "lm-pool@2": fakePath.generate() };
  const started = await fakePath.start(serves);
  const url = `${started.url}/v1/pipelines/short`;
  const input = { text: "one two three four five six" };
  await fakePath.post(url, { input });
  await fakePath.post(`${started.url}/v1/services/billing/`, "book");
  t.like(started.path.dump(), {
    accounts: {
      "kivu-crew": { onTime: 1, late: 0, refused: 1, abandoned: 0 },
    },
  });
  const { counts } = started.tally.toJSON();
  const accountLabel = "account=kivu-crew,";
  const callLabels = "kind=default,service=lm-pool,stage=generate";
  t.is(counts[`request.on_time{${accountLabel}kind=default}`], 1);
  t.is(counts[`cost.wasted_calls{${accountLabel}fate=retry,${callLabels}}`], 1);
  t.is(counts[`cost.output_tokens{${accountLabel}${callLabels}}`], 6);
  await started.stop();
});
