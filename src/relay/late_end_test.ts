/** Ends of tunnels around a standstill of the host that relays them; apart from other
 * tests, which it would delay.
 * @module */

import * as net from "node:net";
import type * as ava from "ava";
import test from "ava";
import * as standstillFixture from "../runtime/standstill_fixture.ts";
import * as fixture from "./fixture.ts";

/** Opens a tunnel to an endpoint that ends it behind an answer; resolves with whether
 * the host that relays it confirms the end, once `wait` has returned. */
async function confirmEnd(
  t: ava.ExecutionContext,
  wait: () => void,
): Promise<boolean> {
  const endpoint = net.createServer((socket) => {
    socket.on("error", () => {});
    socket.on("data", () => socket.end("answer"));
  });
  await new Promise<void>((resolve) =>
    endpoint.listen(0, fixture.LOOPBACK, resolve)
  );
  t.teardown(() => endpoint.close());
  const { port } = endpoint.address() as net.AddressInfo;
  const { dialAddress, requests, server } = await fixture.startRelay(t);
  const address = `${fixture.LOOPBACK}:${port}`;
  const tunnel = await fixture.openTunnel(dialAddress, address);
  const ended = new Promise((resolve) => tunnel.once("end", resolve));
  tunnel.resume().write("request");
  await ended;
  tunnel.destroy();
  wait();
  return await server.hasEnded(requests[0].tunnel!);
}

test.serial("a host confirms the end of a tunnel whose endpoint goes on", async (t) => {
  t.true(await confirmEnd(t, () => {}));
});

// Guards against a part of an answer that counts as whole: while the relaying host
// stood still, the endpoint may have ended and another one taken its address.
test.serial("a host that has stood still does not confirm the end of a tunnel", async (t) => {
  t.false(await confirmEnd(t, standstillFixture.standStill));
});
