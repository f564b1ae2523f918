/** Command line of the stand-ins.
 * @module */

import * as clipanion from "clipanion";
import * as control from "./control.ts";
import * as deployments from "./deployments.ts";
import * as fleet from "./fleet.ts";

/** Runs the stand-ins of one deployment until it is told to stop. */
export class StandIns extends clipanion.Command {
  static override usage = clipanion.Command.Usage({
    description: "Starts the stand-ins of one deployment",
    details: `
      The stand-ins listen on free ports of 127.0.0.1 and announce themselves
      to the hosts in turn. The control port reads their ledger and switches
      faults; see docs/operating/experiments.md.
    `,
    examples: [[
      "Kivu's stand-ins for a host on port 7070",
      "$0 kivu --host http://127.0.0.1:7070",
    ]],
  });

  deployment = clipanion.Option.String();
  hosts = clipanion.Option.Array("--host", [], {
    description: "Base URL of a host's callers' port",
  });
  tokenEnv = clipanion.Option.String("--token-env", {
    description: "Environment variable that holds the endpoint token",
  });
  controlPort = clipanion.Option.String("--control-port", "0", {
    description: "Port of the control interface; a free one when absent",
  });
  seed = clipanion.Option.String("--seed", "1", {
    description: "Seed of all random numbers",
  });
  ignoreFencing = clipanion.Option.Boolean("--ignore-fencing", false, {
    description: "Engines obey orders with an old fencing token",
  });

  override async execute(): Promise<number> {
    const deployment = deployments.deployments[this.deployment];
    if (deployment === undefined) {
      const known = Object.keys(deployments.deployments).join(", ");
      this.context.stderr.write(
        `There is no deployment ${this.deployment}; known are ${known}\n`,
      );
      return 2;
    }
    await this.#run(deployment);
    return 0;
  }

  async #run(deployment: deployments.Deployment): Promise<void> {
    const token = this.tokenEnv === undefined
      ? undefined
      : process.env[this.tokenEnv];
    const standIns = new fleet.Fleet({
      deployment,
      hosts: this.hosts,
      seed: Number(this.seed),
      fencing: this.ignoreFencing ? "ignores" : "checks",
      ...(token === undefined ? {} : { token }),
    });
    const steering = new control.Control(standIns);
    await standIns.start();
    await steering.start(Number(this.controlPort));
    this.#show(standIns, steering);
    await signalled();
    await standIns.stop();
    await steering.stop();
  }

  #show(standIns: fleet.Fleet, steering: control.Control): void {
    const { stdout } = this.context;
    for (const { id, dataCentre, url } of standIns.select()) {
      stdout.write(`${id} ${dataCentre} ${url}\n`);
    }
    stdout.write(`control ${steering.url}\n`);
  }
}

function signalled(): Promise<void> {
  return new Promise((resolve) => {
    process.once("SIGTERM", () => resolve());
    process.once("SIGINT", () => resolve());
  });
}
