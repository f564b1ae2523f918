/** Collection of buffers that are not used any more. V8 collects buffers once 64 MB
 * more have been allocated since it last did, which is more than a small host has
 * left beside those that it uses.
 * @module */

import * as v8 from "node:v8";
import * as vm from "node:vm";

/** Part of a process's memory that unused buffers may take. */
const UNUSED_RATIO = 1 / 32;

/** Memory that a buffer takes beside its bytes until it is collected: its objects,
 * and what its allocation takes outside of V8's heap, which V8 does not count. */
const BUFFER_OVERHEAD_BYTES = 400;

/** Dependencies of a collector. */
export interface CollectorOptions {
  /** Collects all that is not used. */
  collect(): void;
  /** Runs a function after this turn of the event loop. */
  afterTurn(action: () => void): void;
}

/** Bytes of buffers that are not used any more. Mutable. */
export class Collector {
  readonly #options: CollectorOptions;
  #threshold = Infinity;
  #unusedBytes = 0;
  #isDue = false;

  private constructor(options: CollectorOptions) {
    this.#options = options;
  }

  static create(options: CollectorOptions): Collector {
    return new Collector(options);
  }

  /** Sets the memory of the process in bytes; before, nothing is collected. */
  limitMemory(bytes: number): void {
    this.#threshold = UNUSED_RATIO * bytes;
  }

  /** Records a buffer that is not used any more, or will not be soon. */
  addUnused(bytes: number): void {
    this.#unusedBytes += bytes + BUFFER_OVERHEAD_BYTES;
    if (this.#unusedBytes < this.#threshold || this.#isDue) return;
    this.#isDue = true;
    const { collect, afterTurn } = this.#options;
    afterTurn(() => {
      this.#isDue = false;
      this.#unusedBytes = 0;
      collect();
    });
  }
}

/** The collector of this process. */
export const shared = Collector.create({ collect, afterTurn: setImmediate });

let collectGarbage: (() => void) | undefined;

function collect(): void {
  collectGarbage ??= exposedCollection();
  collectGarbage();
}

/** V8 gives its function only to contexts that are created under this flag. */
function exposedCollection(): () => void {
  v8.setFlagsFromString("--expose-gc");
  const exposed = vm.runInNewContext("gc") as () => void;
  v8.setFlagsFromString("--no-expose-gc");
  return exposed;
}
