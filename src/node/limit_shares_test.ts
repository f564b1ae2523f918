import * as crypto from "node:crypto";
import test, { type ExecutionContext } from "ava";
import type * as schema from "../schema/settings_types.ts";
import * as localFleet from "./local_fleet.ts";

const RATE = 60;
const TOKEN = "crews-token";
const ROW = "account/crews";
const HOSTS = ["a", "b", "c"];

interface SharesDump {
  shares: {
    holder: { shares: { row: string; column: string; share: number }[] };
  };
}

/** Three voters with one limit, and the highest total of their shares. */
class Fixture {
  fleet!: localFleet.LocalFleet;
  maxTotal = 0;
  #calls = 0;

  static async start(t: ExecutionContext): Promise<Fixture> {
    const fixture = new Fixture();
    const tokenHash = crypto.createHash("sha256").update(TOKEN).digest("hex");
    const table: schema.InitialRow[] = [
      { row: ROW, cells: { rate: RATE, tokenHash } },
    ];
    fixture.fleet = await localFleet.LocalFleet.start({
      voters: HOSTS,
      settings: { table },
      onAdvance: () => fixture.#recordTotal(),
    });
    t.teardown(() => fixture.fleet.stop());
    return fixture;
  }

  share(id: string): number {
    const { shares } = this.fleet.get(id).dump() as SharesDump;
    const found = shares.holder.shares.find(({ row }) => row === ROW);
    return found?.share ?? 0;
  }

  /** Calls one host repeatedly until its share meets a condition. */
  async callUntil(
    id: string,
    wished: (share: number) => boolean,
  ): Promise<void> {
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

  #recordTotal(): void {
    if (++this.#calls % 10 !== 0 || this.fleet === undefined) return;
    const ids = [...this.fleet.hosts.keys()];
    const sum = ids.reduce((sum, id) => sum + this.share(id), 0);
    this.maxTotal = Math.max(this.maxTotal, sum);
  }
}

test("a limit moves to the host with demand, and shares never exceed it", async (t) => {
  const fixture = await Fixture.start(t);
  await fixture.callUntil("b", (share) => share > 0.8 * RATE);
  await fixture.callUntil("c", (share) => share > 0.4 * RATE);
  t.true(fixture.maxTotal > 0.8 * RATE);
  t.true(fixture.maxTotal <= RATE + 1e-6, String(fixture.maxTotal));
});

test("an isolated host falls back to its safe share", async (t) => {
  const fixture = await Fixture.start(t);
  await fixture.callUntil("a", (share) => share > 0.8 * RATE);
  await fixture.fleet.isolate("a");
  await fixture.fleet.advanceUntil(() => fixture.share("a") < 0.1 * RATE);
  t.is(fixture.share("a"), RATE * 0.25 / 4);
  await fixture.callUntil("b", (share) => share > 0.7 * RATE);
  t.true(fixture.maxTotal <= RATE + 1e-6, String(fixture.maxTotal));
});
