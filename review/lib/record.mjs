// The record of a run: what was sent, answered and run, one line each.

import * as fs from "node:fs";

export class Record {
  #file;
  #started = performance.now();

  constructor(file) {
    this.#file = file;
    fs.writeFileSync(file, "");
  }

  /** Milliseconds since the start. */
  get now() {
    return Math.round(performance.now() - this.#started);
  }

  add(text) {
    const line = `${String(this.now).padStart(6)} ms  ${text}`;
    fs.appendFileSync(this.#file, `${line}\n`);
    return line;
  }

  /** Adds a line and prints it. */
  say(text) {
    console.log(this.add(text));
  }
}
