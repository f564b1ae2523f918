import test from "ava";
import type * as endpoint from "../src/schema/endpoint_types.ts";
import * as runtime from "../src/runtime/mod.ts";
import * as announcer from "./announcer.ts";
import * as server from "./server.ts";

interface Heard {
  method: string;
  path: string;
  token: string | undefined;
}

async function host(heard: Heard[], status = 200): Promise<server.Server> {
  const made = new server.Server(({ method, url, headers, reply }) => {
    const token = headers.authorization;
    heard.push({ method, path: url.pathname + url.search, token });
    reply.json(status, { lease: 900 });
  });
  await made.start();
  return made;
}

function announcement(): endpoint.Announcement {
  return {
    service: "lm-pool",
    kind: "engine",
    url: "http://127.0.0.1:1",
    dataCentre: "town-hall",
  };
}

async function until(check: () => boolean): Promise<void> {
  while (!check()) await new Promise((resolve) => setImmediate(resolve));
}

test("renews at a third of the lease, at the hosts in turn", async (t) => {
  const clock = new runtime.FakeClock();
  const heard: Heard[][] = [[], []];
  const hosts = await Promise.all(heard.map((list) => host(list)));
  const made = new announcer.Announcer({
    id: "lm-pool-1",
    announcement,
    hosts: hosts.map(({ url }) => url),
    token: "secret",
    clock,
  });
  await made.start();
  t.deepEqual(heard[0], [{
    method: "PUT",
    path: "/v1/endpoints/lm-pool-1",
    token: "Bearer secret",
  }]);
  clock.advance(299);
  t.is(made.renewals, 1);
  clock.advance(1);
  await until(() => made.renewals === 2);
  t.is(heard[1].length, 1);
  await made.leave();
  t.is(heard[0][1].method, "DELETE");
  t.is(heard[0][1].path, "/v1/endpoints/lm-pool-1?incarnation=0");
  clock.advance(5000);
  t.is(heard.flat().length, 3);
  await Promise.all(hosts.map((host) => host.stop()));
});

test("tries the next host soon when one refuses", async (t) => {
  const clock = new runtime.FakeClock();
  const heard: Heard[][] = [[], []];
  const hosts = [await host(heard[0], 503), await host(heard[1])];
  const made = new announcer.Announcer({
    id: "lm-pool-1",
    announcement,
    hosts: hosts.map(({ url }) => url),
    clock,
  });
  await made.start();
  t.is(made.renewals, 0);
  clock.advance(200);
  await until(() => made.renewals === 1);
  t.is(heard[1].length, 1);
  made.vanish();
  await Promise.all(hosts.map((host) => host.stop()));
});
