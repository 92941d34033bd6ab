// Bundles the platform's programs with esbuild, one file a role, so that a role loads nothing that it does not run. Beside each
// bundle lies its V8 code cache, which saves the compilation at each start.
import { build } from "esbuild";
import { spawnSync } from "node:child_process";
import { copyFileSync, mkdirSync, readFileSync } from "node:fs";
import { resolve } from "node:path";

const roles = ["entry", "control"];
const bundleFolder = resolve("scripts/bundle");
/** What is bundled in place of modules that load more than the programs use. */
const replacements = new Map([
    ["undici", "undici.cjs"],
    ["hdr-histogram-js", "hdrHistogram.cjs"],
    ["assert", "assert.cjs"],
    ["node:assert", "assert.cjs"],
]);
const replacePlugin = {
    name: "replace",
    setup: ({ onResolve }) =>
        onResolve(
            { filter: /^(undici|hdr-histogram-js|(node:)?assert)$/ },
            ({ path, importer }) =>
                importer.startsWith(bundleFolder)
                    ? { path, external: true }
                    : { path: resolve(bundleFolder, replacements.get(path)) },
        ),
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
    copyFileSync("scripts/bundle/loadBundle.cjs", `target/${role}.js`);
    createCodeCache(role);
}

/**
 * Creates the code cache of a role. V8 accepts a cache only under the options under which it was created, so these come from
 * the command that runs the role; under others the bundle is compiled as without a cache.
 */
function createCodeCache(role) {
    const options = deployment.match(new RegExp(`"node (.*)target/${role}\\.js"`))?.[1].split(" ").filter(Boolean)
        ?? [];
    const { status, stderr } = spawnSync(process.execPath, [...options, "scripts/bundle/createCodeCache.cjs", role], {
        encoding: "utf8",
    });
    if (status !== 0) {
        console.warn(`no code cache for ${role}: ${stderr}`);
    }
}
