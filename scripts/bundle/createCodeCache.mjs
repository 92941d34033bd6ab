// Writes the code cache of a role's bundle. The role runs without settings, and so ends once it has loaded all modules; the cache
// holds the functions that were compiled until then. Run: node OPTIONS scripts/bundle/createCodeCache.mjs ROLE
import { readFileSync, writeFileSync } from "node:fs";
import { createRequire } from "node:module";
import { join, resolve } from "node:path";
import { Script } from "node:vm";

const role = process.argv[2];
const bundlePath = resolve("target", `${role}.bundle.js`);
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(bundlePath, "latin1")}\n})`;
const script = new Script(source, { filename: bundlePath });
process.on("exit", () => {
    writeFileSync(join("target", `${role}.cache`), script.createCachedData());
    // Without settings the role ends with status 1.
    process.exitCode = 0;
});
script.runInThisContext()({}, createRequire(bundlePath), {}, bundlePath, resolve("target"));
