/** Program of a request path with fake endpoints, as a process of its own that can
 * be killed. It prints its address once it listens.
 * @module */

import type * as http from "node:http";
import * as fakePath from "./fake_path.ts";

/** More than the buffers of the system take. */
const BODY = "x".repeat(8 * 1024 * 1024);

/** Answers of the plain service, by the framing that a request asks for. */
const FRAMINGS: Record<string, (response: http.ServerResponse) => void> = {
  length(response) {
    response.setHeader("content-length", BODY.length);
    response.end(BODY);
  },
  chunked(response) {
    response.write(BODY);
    response.end();
  },
};

const { url } = await fakePath.start({
  "lm-pool@1": fakePath.generate({ stopAt: 2 }),
  billing({ headers }, response) {
    FRAMINGS[`${headers["x-framing"]}`](response);
  },
});
process.stdout.write(`${new URL(url).host}\n`);
