// Runs the bundle of a role, which lies beside this file, with its code cache. Without a usable cache it is compiled. The build
// turns this file into a CommonJS module, whose variables the bundle gets.
import { readFileSync } from "node:fs";
import { Script } from "node:vm";
import { digestBytes, getCacheDigest } from "./getCacheDigest.mjs";

const bundlePath = __filename.replace(/js$/, "bundle.js");
const bundle = readFileSync(bundlePath);
const source = `(function (exports, require, module, __filename, __dirname) {${bundle.latin1Slice()}\n})`;
const cachedData = readCache();
new Script(source, { filename: bundlePath, cachedData }).runInThisContext()({}, require, module, bundlePath, __dirname);

/** Reads the code cache where it is that of the bundle and undamaged; without it only the start takes longer. */
function readCache() {
    try {
        const file = readFileSync(__filename.replace(/js$/, "cache"));
        const data = file.subarray(digestBytes);
        return getCacheDigest(bundle, data).equals(file.subarray(0, digestBytes)) ? data : undefined;
    }
    catch {
        return undefined;
    }
}
