import * as crypto from "node:crypto";
import test, { type ExecutionContext } from "ava";
import type * as schema from "../schema/settings_types.ts";
import * as localFleet from "./local_fleet.ts";

const RATE = 60;
const TOKEN = "crews-token";
const ROW = "account/crews";
const HOSTS = ["a", "b", "c"];

interface Shares {
  shares: {
    holder: { shares: { row: string; column: string; share: number }[] };
  };
}

/** Three voters with one limit, and the most that they shared out. */
class Bench {
  fleet!: localFleet.LocalFleet;
  most = 0;
  #calls = 0;

  static async start(t: ExecutionContext): Promise<Bench> {
    const bench = new Bench();
    const tokenHash = crypto.createHash("sha256").update(TOKEN).digest("hex");
    const table: schema.InitialRow[] = [
      { row: ROW, cells: { rate: RATE, tokenHash } },
    ];
    bench.fleet = await localFleet.LocalFleet.start({
      voters: HOSTS,
      settings: { table },
      onAdvance: () => bench.#watch(),
    });
    t.teardown(() => bench.fleet.stop());
    return bench;
  }

  share(id: string): number {
    const { shares } = this.fleet.get(id).dump() as Shares;
    const found = shares.holder.shares.find(({ row }) => row === ROW);
    return found?.share ?? 0;
  }

  /** Asks one host without pause until its share is as wished. */
  async ask(id: string, wished: (share: number) => boolean): Promise<void> {
    const { callersPort } = this.fleet.get(id);
    const url = `http://127.0.0.1:${callersPort}/v1/services/billing/pay`;
    const headers = { authorization: `Bearer ${TOKEN}` };
    while (!wished(this.share(id))) {
      const answer = await fetch(url, { method: "POST", headers });
      await answer.text();
      const at = this.fleet.clock.now() + 10;
      await this.fleet.advanceUntil(() => this.fleet.clock.now() >= at);
    }
  }

  #watch(): void {
    if (++this.#calls % 10 !== 0 || this.fleet === undefined) return;
    const ids = [...this.fleet.hosts.keys()];
    const sum = ids.reduce((sum, id) => sum + this.share(id), 0);
    this.most = Math.max(this.most, sum);
  }
}

test("a limit goes to the host that is asked, and never above the cell", async (t) => {
  const bench = await Bench.start(t);
  await bench.ask("b", (share) => share > 0.8 * RATE);
  await bench.ask("c", (share) => share > 0.4 * RATE);
  t.true(bench.most > 0.8 * RATE);
  t.true(bench.most <= RATE + 1e-6, String(bench.most));
});

test("a host that is cut off falls back to its safe share", async (t) => {
  const bench = await Bench.start(t);
  await bench.ask("a", (share) => share > 0.8 * RATE);
  await bench.fleet.isolate("a");
  await bench.fleet.advanceUntil(() => bench.share("a") < 0.1 * RATE);
  t.is(bench.share("a"), RATE * 0.25 / 4);
  await bench.ask("b", (share) => share > 0.7 * RATE);
  t.true(bench.most <= RATE + 1e-6, String(bench.most));
});
