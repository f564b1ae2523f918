import test from "ava";
import type * as catalogue from "./catalogue.ts";
import * as stageData from "./stage_data.ts";

const encode = { name: "encode", service: "enc", kind: "encoder", model: "m" };

function textsFor(input: { text: string; question?: string }) {
  const payload = { type: "pipeline" as const, call: { input } };
  const made = stageData.StageData.create(payload);
  const step = encode as unknown as catalogue.Step;
  const { size } = made.measure(step);
  return { size, asked: made.input(step) };
}

test("embeds only what is used: the question, or the text's start", (t) => {
  const text = "x".repeat(10_000);
  t.like(textsFor({ text, question: "which hull" }), {
    size: 3,
    asked: { texts: ["which hull"] },
  });
  t.like(textsFor({ text }), {
    size: 512,
    asked: { texts: ["x".repeat(2048)] },
  });
});
