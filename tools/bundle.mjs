/** Bundles the platform's programs, one file for each role: a process then
 * loads only what its role uses, which saves memory and start-up time.
 * @module */

import * as esbuild from "esbuild";

await esbuild.build({
  entryPoints: ["platform/entry_main.ts", "platform/control_main.ts"],
  outdir: "target",
  outExtension: { ".js": ".mjs" },
  bundle: true,
  platform: "node",
  target: "node20",
  format: "esm",
  logLevel: "warning",
  // Libraries in CommonJS ask for Node's modules by `require`.
  banner: {
    js: 'import { createRequire as makeRequire } from "node:module";' +
      "const require = makeRequire(import.meta.url);",
  },
  external: ["bufferutil", "utf-8-validate", "unix-dgram"],
});
