import test from "ava";
import type * as catalogue from "./catalogue.ts";
import * as stageData from "./stage_data.ts";

const encode = { name: "encode", service: "enc", kind: "encoder", model: "m" };

function encoderInput(input: { text: string; question?: string }) {
  const payload = { type: "pipeline" as const, call: { input } };
  const data = stageData.StageData.create(payload);
  const step = encode as unknown as catalogue.Step;
  const { size } = data.measure(step);
  return { size, asked: data.input(step) };
}

test("embeds only the question or, without one, the start of the text", (t) => {
  const text = "x".repeat(10_000);
  t.like(encoderInput({ text, question: "which hull" }), {
    size: 3,
    asked: { texts: ["which hull"] },
  });
  t.like(encoderInput({ text }), {
    size: 512,
    asked: { texts: ["x".repeat(2048)] },
  });
});
