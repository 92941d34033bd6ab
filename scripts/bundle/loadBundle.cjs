// Runs the bundle of a role, which lies beside this file, with its code cache. Without a usable cache it is compiled.
"use strict";
const { readFileSync } = require("node:fs");
const { Script } = require("node:vm");

const bundlePath = __filename.replace(/js$/, "bundle.js");
const bundle = readFileSync(bundlePath, "latin1");
let cachedData;
try {
    cachedData = readFileSync(__filename.replace(/js$/, "cache"));
}
catch {
    // Without a cache only the start takes longer.
}
const source = `(function (exports, require, module, __filename, __dirname) {${bundle}\n})`;
new Script(source, { filename: bundlePath, cachedData }).runInThisContext()(
    exports,
    require,
    module,
    bundlePath,
    __dirname,
);
