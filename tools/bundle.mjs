/** Bundles the platform's programs, one file for each role: a process then
 * loads only what its role uses, which saves memory and start-up time. After a
 * loss of power all hosts load at once, on a third of a core each: a program
 * that takes .1 s of a core less to load serves .3 s sooner.
 * @module */

import * as esbuild from "esbuild";

/** What the programs use of libraries whose indexes load much more: fetch,
 * caches, mocks and proxies, gauges of the process itself. A name that is
 * missing here fails the build. */
const PARTS = {
  "undici": `
    export { default as Dispatcher } from "undici/lib/dispatcher/dispatcher.js";
    export { default as Client } from "undici/lib/dispatcher/client.js";
    export { default as Pool } from "undici/lib/dispatcher/pool.js";
    export { default as buildConnector } from "undici/lib/core/connect.js";
    export { default as errors } from "undici/lib/core/errors.js";
  `,
  "prom-client": `
    export { default as Counter } from "prom-client/lib/counter.js";
    export { default as Gauge } from "prom-client/lib/gauge.js";
    export { default as Histogram } from "prom-client/lib/histogram.js";
    import registry from "prom-client/lib/registry.js";
    export const Registry = registry;
  `,
};

/** Puts the parts that are used in place of those indexes. */
const usedParts = {
  name: "used-parts",
  setup(build) {
    const namespace = "used-parts";
    const filter = /^(undici|prom-client)$/;
    build.onResolve({ filter }, ({ path }) => ({ path, namespace }));
    build.onLoad({ filter: /.*/, namespace }, ({ path }) => ({
      contents: PARTS[path],
      resolveDir: process.cwd(),
    }));
  },
};

/** What libraries load for what the programs don't speak: HTTP/2, TLS, logging
 * in another thread. Each fails loudly if it is used after all. */
const UNUSED = [
  { filter: /\/client-h2\.js$/, importer: /undici/ },
  { filter: /^(https|tls)$/, importer: /[\\/]ws[\\/]/ },
  { filter: /^thread-stream$/, importer: /pino/ },
];

/** Puts a module without content in place of what is not used. */
const unusedParts = {
  name: "unused-parts",
  setup(build) {
    const namespace = "unused-parts";
    for (const { filter, importer } of UNUSED) {
      build.onResolve({ filter }, ({ path, importer: from }) => {
        if (importer.test(from)) return { path, namespace };
      });
    }
    build.onLoad({ filter: /.*/, namespace }, ({ path }) => ({
      contents: `module.exports = () => {
        throw new Error("The program is built without ${path}");
      };`,
    }));
  },
};

await esbuild.build({
  entryPoints: ["platform/entry_main.ts", "platform/control_main.ts"],
  outdir: "target",
  outExtension: { ".js": ".mjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  logLevel: "warning",
  // A name that the parts above lack would be undefined at run time.
  logOverride: { "import-is-undefined": "error" },
  plugins: [usedParts, unusedParts],
  // Names stay, so that stacks can be read.
  minifyWhitespace: true,
  minifySyntax: true,
  legalComments: "none",
  // Libraries in CommonJS ask for Node's modules by `require`.
  banner: {
    js: 'import { createRequire as makeRequire } from "node:module";' +
      "const require = makeRequire(import.meta.url);",
  },
  external: ["bufferutil", "utf-8-validate", "unix-dgram"],
});
