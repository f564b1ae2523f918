import * as events from "node:events";
import test from "ava";
import * as fakeClocks from "../runtime/fake_clock.ts";
import * as lingeringCloses from "./lingering_closes.ts";

/** A socket that records what is done with it. */
function socketOf() {
  const calls: string[] = [];
  const socket = Object.assign(new events.EventEmitter(), {
    end: () => calls.push("end"),
    destroy: () => {
      calls.push("destroy");
      socket.emit("close");
    },
    destroySoon: () => calls.push("destroySoon"),
  });
  return { socket, calls };
}

function createCloses() {
  const clock = new fakeClocks.FakeClock();
  const closes = lingeringCloses.LingeringCloses.create({ clock });
  const prepare = ({ socket }: ReturnType<typeof socketOf>) =>
    closes.prepare(socket as unknown as lingeringCloses.Socket);
  return { clock, prepare };
}

test("a connection is closed for writing, and wholly at the timeout", (t) => {
  const { clock, prepare } = createCloses();
  const { socket, calls } = socketOf();
  prepare({ socket, calls });
  socket.destroySoon();
  t.deepEqual(calls, ["end"]);
  clock.advance(999);
  t.deepEqual(calls, ["end"]);
  clock.advance(1);
  t.deepEqual(calls, ["end", "destroy"]);
});

test("a connection is closed once its caller closes it", (t) => {
  const { clock, prepare } = createCloses();
  const { socket, calls } = socketOf();
  prepare({ socket, calls });
  socket.destroySoon();
  socket.emit("end");
  t.deepEqual(calls, ["end", "destroy"]);
  clock.advance(5000);
  t.deepEqual(calls, ["end", "destroy"]);
});

test("connections beyond the bound are closed at once", (t) => {
  const { prepare } = createCloses();
  const lingering = Array.from({ length: 64 }, socketOf);
  lingering.forEach(prepare);
  const [second, third] = [socketOf(), socketOf()];
  prepare(second);
  second.socket.destroySoon();
  t.deepEqual(second.calls, ["destroySoon"]);
  lingering[0].socket.emit("close");
  prepare(third);
  third.socket.destroySoon();
  t.deepEqual(third.calls, ["end"]);
});
