import test from "ava";
import * as costLedger from "./cost_ledger.ts";

function createEntry(fields: Partial<costLedger.Entry> = {}): costLedger.Entry {
  const usage = {
    inputTokens: 100,
    outputTokens: 10,
    cachedTokens: 0,
    engineTime: 1000,
  };
  return {
    account: "crew",
    kind: "plan",
    service: "lm-pool",
    stage: "generate",
    category: "useful",
    usage,
    ...fields,
  };
}

test("aggregates cost and waste by stage, account and kind", (t) => {
  const ledger = costLedger.CostLedger.create();
  ledger.record(createEntry());
  ledger.record(createEntry({ category: "hedge" }));
  ledger.record(createEntry({ category: "retry", account: "clerk" }));
  const stage = ledger.totals("stage", "lm-pool generate")!;
  t.is(stage.useful.time, 1000);
  t.is(costLedger.wastedTime(stage), 2000);
  t.is(costLedger.wastedTime(ledger.totals("account", "clerk")!), 1000);
  t.is(ledger.totals("kind", "plan")?.hedge.outputTokens, 10);
});

test("extra cost stays within the share that the policy table grants", (t) => {
  const policies = new Map([["account/crew", { spend: 0.2 }]]);
  const ledger = costLedger.CostLedger.create(policies);
  let spent = 0;
  for (let i = 0; i < 100; i++) {
    ledger.record(createEntry());
    while (ledger.spend(createEntry(), 100)) spent += 100;
  }
  t.is(spent, 1000 + 0.2 * 100_000);
});

test("the lower share applies when both policy rows set one", (t) => {
  const policies = new Map([
    ["account/crew", { spend: 0.5 }],
    ["kind/plan", { spend: 0 }],
  ]);
  const ledger = costLedger.CostLedger.create(policies);
  ledger.record(createEntry());
  t.false(ledger.spend(createEntry(), 1));
});

test("bounds the budget that a flow accumulates", (t) => {
  const ledger = costLedger.CostLedger.create();
  for (let i = 0; i < 1000; i++) ledger.record(createEntry());
  t.is(ledger.budget(createEntry()), 3000);
});
