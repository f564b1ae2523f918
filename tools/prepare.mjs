// Installs what the lock file names if it is missing, then builds.
import * as childProcess from "node:child_process";
import * as fs from "node:fs";

function run(command, args) {
  const { status } = childProcess.spawnSync(command, args, {
    stdio: "inherit",
  });
  if (status !== 0) process.exit(status ?? 1);
}

if (!fs.existsSync("node_modules/.package-lock.json")) {
  run("npm", ["ci", "--no-audit", "--no-fund"]);
}
run("npm", ["run", "-s", "build"]);
