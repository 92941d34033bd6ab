// Runs the bundle of a role, which lies beside this file, with its code cache. Without a usable cache it is compiled. The build
// turns this file into a CommonJS module, whose variables the bundle gets.
import { readFileSync } from "node:fs";
import { Script } from "node:vm";

const bundlePath = __filename.replace(/js$/, "bundle.js");
const source = `(function (exports, require, module, __filename, __dirname) {${readFileSync(bundlePath, "latin1")}\n})`;
const cachedData = readCache();
new Script(source, { filename: bundlePath, cachedData }).runInThisContext()({}, require, module, bundlePath, __dirname);

/** Reads the code cache; without it only the start takes longer. */
function readCache() {
    try {
        return readFileSync(__filename.replace(/js$/, "cache"));
    }
    catch {
        return undefined;
    }
}
