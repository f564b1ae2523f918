/** `chicoryloft release`: releases a request or a prompt part from quarantine.
 * @module */

import * as clipanion from "clipanion";
import * as client from "../client/mod.ts";
import * as command from "./command.ts";
import * as metricsCall from "./metrics_call.ts";

/** Releases a request or a prompt part from quarantine on all hosts. */
export class ReleaseCommand extends command.Command {
  static override paths = [["release"]];
  static override usage = clipanion.Command.Usage({
    description: "Release a request, or a part of prompts, that was " +
      "quarantined because it crashed endpoints",
    details:
      "FINGERPRINT is the `suspect` in the log line of a refused request. Any " +
      "host with a disk accepts the call at its metrics address and informs " +
      "all others.",
    examples: [[
      "Release a request",
      "$0 release 5pGZ2Q0w1kq8Yt7bJr3uVA --at 10.0.0.4:9464",
    ], [
      "Release a part",
      "$0 release part:5c1e07a2 --at 10.0.0.4:9464",
    ]],
  });

  fingerprint = clipanion.Option.String({ name: "FINGERPRINT" });

  at = clipanion.Option.String("--at", {
    required: true,
    description: "Metrics address of a host with a disk, HOST:PORT",
  });

  override async run(): Promise<void> {
    const { fingerprint, at } = this;
    const target = `/suspects/${encodeURIComponent(fingerprint)}/release`;
    const { status } = await metricsCall.call("POST", `http://${at}${target}`);
    if (status !== 204) {
      const message = `${fingerprint} is not suspected at ${at}`;
      throw new client.ClientError("usage", message);
    }
    this.print({ released: fingerprint }, () => `${fingerprint} released\n`);
  }
}
