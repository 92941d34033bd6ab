// The esbuild plugin that replaces modules which load more at each start than the platform's programs use.
import assert from "node:assert";
import { resolve } from "node:path";
import { compileSchemas } from "./compileSchemas.mjs";

/** The files that are bundled in place of modules which load more than the programs use. */
const replacements = { "undici": "undici.mjs", "hdr-histogram-js": "hdrHistogram.mjs" };
/** The functions of the module `assert`, without its classes, itself and its strict variant. */
const assertFunctions = Object.keys(assert).filter(name => /^[a-z]/.test(name) && name !== "ok" && name !== "strict");
/**
 * Loads the module `assert` when an assertion fails, as it opens the standard error stream, which took 10 ms of each start. The
 * functions are enumerable, since assert-plus, on which verror depends, copies those that `Object.keys` lists.
 */
const lazyAssert = `
    const assert = module.exports = (value, message = "assertion failed") => value || require("node:assert")(value, message);
    for (const name of ${JSON.stringify(assertFunctions)}) {
        assert[name] = (...values) => require("node:assert")[name](...values);
    }
    assert.ok = assert;
    Object.defineProperty(assert, "AssertionError", { get: () => require("node:assert").AssertionError });`;
/** The options of `platform/wire/createValidator.ts`. */
const schemaOptions = { meta: false, validateSchema: false, allowUnionTypes: true, strict: false };
/** Gets the functions that the build has compiled, and loads the compiler for any other schema or options. */
const compiledAjv = `
    const { validators } = require("compiled-schemas");
    exports.Ajv = function (options) {
        const isUsual = JSON.stringify(options) === ${JSON.stringify(JSON.stringify(schemaOptions))};
        this.compile = schema => isUsual && validators.get(JSON.stringify(schema))
            || new (require("ajv/dist/ajv").Ajv)(options).compile(schema);
    };`;
/** Replaces modules that load more than the platform's programs use. */
export const replacePlugin = {
    name: "replace",
    setup: ({ onResolve, onLoad }) => {
        onResolve({ filter: /^(undici|hdr-histogram-js)$/ }, ({ path }) => ({
            path: resolve(import.meta.dirname, replacements[path]),
        }));
        onResolve(
            { filter: /^(node:)?assert$/ },
            ({ namespace }) => namespace === "assert" ? { external: true } : { path: "assert", namespace: "assert" },
        );
        onLoad({ filter: /^assert$/, namespace: "assert" }, () => ({ contents: lazyAssert }));
        onResolve({ filter: /^(ajv|compiled-schemas)$/ }, ({ path }) => ({ path, namespace: "schemas" }));
        onLoad({ filter: /^ajv$/, namespace: "schemas" }, () => ({ contents: compiledAjv, resolveDir: resolve(".") }));
        onLoad({ filter: /^compiled-schemas$/, namespace: "schemas" }, async () => ({
            contents: await compileSchemas(schemaOptions),
            resolveDir: resolve("."),
        }));
    },
};
