// Bundles the platform's programs with esbuild, one file a role, so that a role loads nothing that it does not run. Beside each
// bundle lies its V8 code cache, which saves the compilation at each start.
import { build } from "esbuild";
import { spawnSync } from "node:child_process";
import { mkdirSync, readFileSync } from "node:fs";
import { resolve } from "node:path";
import { compileSchemas } from "./bundle/compileSchemas.mjs";

const roles = ["entry", "control"];
const bundleFolder = resolve("scripts/bundle");
/** The files that are bundled in place of modules which load more than the programs use. */
const replacements = { "undici": "undici.mjs", "hdr-histogram-js": "hdrHistogram.mjs" };
/** Loads the module `assert` when an assertion fails, as it opens the standard error stream, which took 10 ms of each start. */
const lazyAssert = `
    module.exports = (value, message = "assertion failed") => value || require("node:assert")(value, message);
    for (const name of ["AssertionError", "deepStrictEqual", "equal", "fail", "ifError", "notEqual", "ok", "strictEqual"]) {
        Object.defineProperty(module.exports, name, { get: () => require("node:assert")[name] });
    }`;
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
const replacePlugin = {
    name: "replace",
    setup: ({ onResolve, onLoad }) => {
        onResolve({ filter: /^(undici|hdr-histogram-js)$/ }, ({ path }) => ({
            path: resolve(bundleFolder, replacements[path]),
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

mkdirSync("target", { recursive: true });
await build({
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    external: ["dtrace-provider"],
    entryPoints: Object.fromEntries(roles.map(role => [`${role}.bundle`, `scripts/bundle/${role}.mjs`])),
    outdir: "target",
    plugins: [replacePlugin],
    minifySyntax: true,
    minifyWhitespace: true,
    // The loader reads bundles as Latin-1, which V8 stores in half the memory of UTF-16.
    charset: "ascii",
    logLevel: "warning",
});
const deployment = readFileSync("deploy/system.toml", "utf8");
for (const role of roles) {
    await build({ entryPoints: ["scripts/bundle/loadBundle.mjs"], format: "cjs", outfile: `target/${role}.js` });
    createCodeCache(role);
}

/**
 * Creates the code cache of a role. V8 accepts a cache only under the options under which it was created, so these come from
 * the command that runs the role; under others the bundle is compiled as without a cache.
 */
function createCodeCache(role) {
    const options = deployment.match(new RegExp(`"node (.*)target/${role}\\.js"`))?.[1].split(" ").filter(Boolean)
        ?? [];
    const { status, stderr } = spawnSync(process.execPath, [...options, "scripts/bundle/createCodeCache.mjs", role], {
        encoding: "utf8",
        env: {},
    });
    if (status !== 0) {
        console.warn(`no code cache for ${role}: ${stderr}`);
    }
}
