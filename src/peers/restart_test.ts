/** Two hosts over loopback, one of which is restarted at its address.
 * @module */

import test, { type ExecutionContext } from "ava";
import * as fixture from "./fixture.ts";
import type * as schema from "../schema/fleet_types.ts";
import * as tcpProxy from "./tcp_proxy.ts";

const { ASKER, OWNER, startHost, until } = fixture;

/** A host that asks, at an address at which it can be restarted, and the owner
 * that it asks; the owner replies once `reply` is called. */
async function startPair(
  t: ExecutionContext,
  { isEarlier = false }: { isEarlier?: boolean } = {},
) {
  const waiting: (() => void)[] = [];
  let asker: fixture.Host | undefined;
  const address = await tcpProxy.TcpProxy.create(() =>
    asker?.transport.port ?? 0
  );
  const owner = await startHost({
    self: OWNER,
    port: address.port,
    isEarlier,
    handlers: {
      confirm: ({ version = 0 }) =>
        new Promise((resolve) =>
          waiting.push(() => resolve({ type: "confirmed", index: version }))
        ),
    },
  });
  const start = async () => {
    asker = await startHost({ self: ASKER, port: owner.transport.port });
    return asker;
  };
  const isConnected = () =>
    JSON.stringify(owner.transport.dump()).includes('"open":true');
  /** Ends the asker; resolves once the owner has noticed. Until the next start
   * its address accepts no connections. */
  const kill = async () => {
    const ended = asker!;
    asker = undefined;
    ended.rpc.stop();
    await ended.transport.stop();
    await until(() => !isConnected());
  };
  t.teardown(async () => {
    if (asker !== undefined) await kill();
    await owner.transport.stop();
    await address.close();
  });
  return { owner, waiting, start, kill };
}

/** Asks the owner to confirm a version; resolves with the version that the
 * reply confirms, or with the name of the error. */
async function confirm(host: fixture.Host, version: number) {
  try {
    const question = { type: "confirm" as const, version };
    const reply = await host.rpc.ask(OWNER, question, { timeout: 5000 });
    return (reply as schema.ConfirmedReply).index;
  } catch (error) {
    return (error as Error).name;
  }
}

for (const isEarlier of [false, true]) {
  const release = isEarlier ? " of an earlier release" : "";
  test(`a restarted host gets no replies of a host${release} to its former process`, async (t) => {
    // Guards against results of another request after a restart.
    const { owner, waiting, start, kill } = await startPair(t, { isEarlier });
    const former = await start();
    const lost = [1, 2, 3].map((version) => confirm(former, version));
    await until(() => waiting.length === 3);
    await kill();
    t.deepEqual(await Promise.all(lost), Array(3).fill("PeerError"));
    waiting.splice(0).forEach((reply) => reply());
    const successor = await start();
    const asked = [4, 5, 6].map((version) => confirm(successor, version));
    await until(() => waiting.length === 3);
    waiting.forEach((reply) => reply());
    t.deepEqual(await Promise.all(asked), [4, 5, 6]);
    t.is(owner.tally.total("peer.dropped"), isEarlier ? 0 : 3);
    t.is(successor.tally.total("peer.unmatched_replies"), isEarlier ? 3 : 0);
  });
}

test("messages for any process at an address wait for a restarted one", async (t) => {
  const { owner, start, kill } = await startPair(t);
  const notice: schema.Notice = { type: "suspects", suspects: [] };
  const former = await start();
  owner.rpc.cast(ASKER, notice);
  await until(() => former.notices.length === 1);
  await kill();
  owner.rpc.cast(ASKER, notice);
  const successor = await start();
  await until(() => successor.notices.length === 1);
  t.deepEqual(successor.notices, [notice]);
});
