// Writes the code cache of a role's bundle. The role runs without settings, and so ends once it has loaded all modules; the cache
// holds the functions that were compiled until then. Run: node OPTIONS scripts/bundle/createCodeCache.cjs ROLE
"use strict";
const { readFileSync, writeFileSync } = require("node:fs");
const { join, resolve } = require("node:path");
const { Script } = require("node:vm");

const role = process.argv[2];
const bundlePath = resolve("target", `${role}.bundle.js`);
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(bundlePath, "latin1")}\n})`;
const script = new Script(source, { filename: bundlePath });
delete process.env.BASILWING_SETTINGS;
process.on("exit", () => {
    writeFileSync(join("target", `${role}.cache`), script.createCachedData());
    // Without settings the role ends with status 1.
    process.exitCode = 0;
});
script.runInThisContext()(exports, require, module, bundlePath, resolve("target"));
