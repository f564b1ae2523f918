/** Slopes of the voters: bytes and processor time of the log, its recovery,
 * and what table and claims keep.
 * @module */

import * as log from "../../src/control/log/mod.ts";
import * as table from "../../src/control/table/mod.ts";
import * as storage from "../../src/storage/mod.ts";
import * as fleets from "../log_fleet.ts";
import * as machines from "../machine.ts";
import * as gauge from "./gauge.ts";
import type * as slope from "./slope.ts";

const VOTERS = [1, 3, 5, 7];
const IDLE = 5000;
const COMMITS = 100;
const BURSTS = [1000, 2000, 4000, 8000];
const ENTRIES = [1000, 5000, 20_000];
const ACCOUNTS = [250, 1000, 2500];
const CLAIMS = [1000, 5000, 20_000];
/** Most claims that the machine keeps. */
const MOST_CLAIMS = 32_768;
const CHANGES = 13_000;
const RECORDS_A_WRITE = 10;
const BYTES_PER_MB = 1e6;
const ROUNDS = 3;

const GROUP = {
  role: "voter" as const,
  per: "voters",
  target: 5,
  reason: "five voters in three regions",
};

async function byVoters(
  measure: (fleet: fleets.CountedFleet) => Promise<number>,
): Promise<slope.Point[]> {
  const points: slope.Point[] = [];
  for (const size of VOTERS) {
    const hosts = Array.from({ length: size }, (_, pos) => `voter-${pos}`);
    const fleet = await fleets.CountedFleet.create(hosts);
    points.push({ size, value: await measure(fleet) });
  }
  return points;
}

const groups: slope.Matter[] = [
  {
    ...GROUP,
    name: "bytes the leader of the log sends at rest",
    unit: "bytes/s",
    mechanism: "heartbeats to voters alone",
    measure: () =>
      byVoters(async (fleet) => {
        await fleet.elapse(IDLE);
        const sent = fleet.bytes.get(fleet.leader.leader!) ?? 0;
        return sent / IDLE * 1000;
      }),
  },
  {
    ...GROUP,
    name: "bytes of a commit, all voters",
    unit: "bytes",
    mechanism: "each entry goes to each voter once",
    measure: () =>
      byVoters(async (fleet) => {
        await fleet.elapse(IDLE);
        const rest = fleet.sum;
        for (let number = 0; number < COMMITS; number++) {
          void fleet.leader.propose(fleets.createCommand(number));
          await fleet.elapse(IDLE / COMMITS);
        }
        return (fleet.sum - 2 * rest) / COMMITS;
      }),
  },
];

const logs: slope.Matter[] = [
  {
    role: "voter",
    name: "processor time of commits",
    per: "commits",
    unit: "ms",
    target: CHANGES,
    reason: "changes of a day, one by one",
    mechanism: "group commit under load; alone each pays a sync",
    async measure() {
      const points: slope.Point[] = [];
      for (const size of BURSTS) {
        const hosts = ["a", "b", "c"];
        const fleet = await fleets.CountedFleet.create(hosts);
        const { leader } = fleet;
        const value = await gauge.cpu(async () => {
          for (let number = 0; number < size; number += 10) {
            for (let pos = 0; pos < 10; pos++) {
              void leader.propose(fleets.createCommand(number + pos));
            }
            await fleet.elapse(3);
          }
        });
        points.push({ size, value });
      }
      return points;
    },
  },
  {
    role: "voter",
    name: "processor time of recovery",
    per: "entries after the snapshot",
    unit: "ms",
    target: 2000,
    reason: "a snapshot is due after 2,000 entries",
    mechanism: "a snapshot, and a journal that is read once",
    async measure() {
      const points: slope.Point[] = [];
      for (const size of ENTRIES) {
        const disk = storage.MemoryStorage.create();
        await writeEntries(disk, size);
        const value = await gauge.cpu(async () => {
          await log.Journal.open(disk, { host: "a", incarnation: "1" });
        });
        points.push({ size, value });
      }
      return points;
    },
  },
];

async function writeEntries(
  disk: storage.MemoryStorage,
  count: number,
): Promise<void> {
  const journal = await log.Journal.open(disk, {
    host: "a",
    incarnation: "1",
  });
  await journal.write([{ type: "vote", term: 1, vote: "a~1" }]);
  for (let first = 1; first <= count; first += RECORDS_A_WRITE) {
    const entries = Array.from({ length: RECORDS_A_WRITE }, (_, pos) => ({
      index: first + pos,
      term: 1,
      command: fleets.createCommand(first + pos),
    }));
    await journal.write([{ type: "entries", entries }]);
  }
}

const ACCOUNT = {
  per: "accounts",
  target: 2500,
  reason: "client accounts with six cells each",
};

function byAccounts(cost: (state: table.State) => number): slope.Point[] {
  return ACCOUNTS.map((size) => {
    return { size, value: cost(machines.fill(size)) };
  });
}

/** What a copy of the table without the answers keeps, in MB. */
function weighTable({ table: whole }: table.State): number {
  const text = JSON.stringify(whole);
  const copy = () => table.Table.fromJSON(JSON.parse(text));
  return gauge.weigh(copy) / BYTES_PER_MB;
}

const states: slope.Matter[] = [
  {
    ...ACCOUNT,
    role: "voter",
    name: "bytes of a snapshot of the table",
    unit: "MB",
    mechanism: "parts of 250 rows",
    measure: () =>
      Promise.resolve(
        byAccounts((state) =>
          JSON.stringify(state.table).length / BYTES_PER_MB
        ),
      ),
  },
  {
    ...ACCOUNT,
    role: "entry host",
    name: "memory of the table",
    unit: "MB",
    mechanism: "one trie that shares nodes between revisions",
    budget: 64,
    measure: () => Promise.resolve(byAccounts(weighTable)),
  },
  {
    role: "voter",
    name: "memory of claims",
    per: "claims",
    unit: "MB",
    target: MOST_CLAIMS,
    reason: "the bound on claims, ten minutes each",
    mechanism: "a bound on their count; more are refused as not run",
    budget: 64,
    measure: () =>
      Promise.resolve(CLAIMS.map((size) => {
        return { size, value: gauge.weigh(() => claim(size)) / BYTES_PER_MB };
      })),
  },
  {
    role: "voter",
    name: "processor time of claims",
    per: "claims and settlements in the machine",
    unit: "ms",
    target: MOST_CLAIMS,
    reason: "all that ten minutes may hold",
    mechanism: "tries; the commit itself is the line above",
    async measure() {
      const points: slope.Point[] = [];
      for (const size of CLAIMS) {
        const value = await gauge.median(
          ROUNDS,
          () => gauge.cpu(() => claim(size)),
        );
        points.push({ size, value });
      }
      return points;
    },
  },
  {
    ...ACCOUNT,
    role: "operator",
    name: "bytes of the table for an operator",
    unit: "bytes",
    mechanism: "one answer; then changes by a stream of events",
    measure: () =>
      Promise.resolve(
        byAccounts((state) => JSON.stringify(state.table).length),
      ),
  },
  {
    ...ACCOUNT,
    role: "operator",
    name: "processor time to read the table",
    unit: "ms",
    mechanism: "JSON of all rows",
    async measure() {
      const points: slope.Point[] = [];
      for (const size of ACCOUNTS) {
        const text = JSON.stringify(machines.fill(size).table);
        const read = () => {
          for (let pos = 0; pos < 10; pos++) {
            table.Table.fromJSON(JSON.parse(text));
          }
        };
        read();
        points.push({ size, value: await gauge.cpu(read) / 10 });
      }
      return points;
    },
  },
];

function claim(count: number): table.State {
  const machine = table.createStateMachine();
  let state = machine.empty;
  for (let pos = 0; pos < count; pos++) {
    state = machine.apply(state, machines.createClaim(pos)).state;
    state = machine.apply(state, machines.createSettle(pos)).state;
  }
  return state;
}

/** Every slope of the log, and of the table and claims that it drives. */
export const all: readonly slope.Matter[] = [...groups, ...logs, ...states];
