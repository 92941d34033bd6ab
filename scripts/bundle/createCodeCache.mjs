// Writes the code cache of a role's bundle. The role runs without settings, and so ends with status 1 once it has loaded all modules;
// the cache holds the functions that were compiled until then. A role that ends otherwise gets none, and fails the build.
// Run: node OPTIONS scripts/bundle/createCodeCache.mjs FOLDER ROLE
import { readFileSync } from "node:fs";
import { createRequire } from "node:module";
import { join, resolve } from "node:path";
import { Script } from "node:vm";
import { getCacheDigest } from "./getCacheDigest.mjs";
import { replaceFile } from "./replaceFile.mjs";

const missingSettingsStatus = 1;
const failureStatus = 2;
const folder = resolve(process.argv[2]);
const role = process.argv[3];
const bundlePath = join(folder, `${role}.bundle.js`);
const bundle = readFileSync(bundlePath);
const source = `(function (exports, require, module, __filename, __dirname) {${bundle.latin1Slice()}\n})`;
const script = new Script(source, { filename: bundlePath });
let hasThrown = false;
process.on("uncaughtExceptionMonitor", () => hasThrown = true);
// The handler of a role would keep a rejection from becoming an uncaught exception.
process.on("unhandledRejection", reason => {
    throw reason;
});
process.on("exit", status => {
    // An uncaught exception also ends the process with status 1.
    if (hasThrown || status !== missingSettingsStatus) {
        process.exitCode = failureStatus;
        return;
    }
    const cachedData = script.createCachedData();
    replaceFile(join(folder, `${role}.cache`), Buffer.concat([getCacheDigest(bundle, cachedData), cachedData]));
    process.exitCode = 0;
});
script.runInThisContext()({}, createRequire(bundlePath), {}, bundlePath, folder);
