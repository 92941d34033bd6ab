// Builds the files of a role: its bundle, the loader of the bundle, and its code cache.
import { build } from "esbuild";
import { spawnSync } from "node:child_process";
import { mkdirSync, rmSync } from "node:fs";
import { join, resolve } from "node:path";
import { replaceFile } from "./replaceFile.mjs";
import { replacePlugin } from "./replacePlugin.mjs";

/**
 * Builds the files of a role. Throws where a step fails; the role then has no code cache, and none of an earlier build.
 * @param files - The role, its entry point, the folder of the files, and the options of Node.js under which the role runs.
 */
export async function buildRole({ role, entryPoint, folder, options }) {
    mkdirSync(folder, { recursive: true });
    rmSync(join(folder, `${role}.cache`), { force: true });
    await buildFile({
        entryPoints: [entryPoint],
        outfile: join(folder, `${role}.bundle.js`),
        external: ["dtrace-provider"],
        plugins: [replacePlugin],
        minifySyntax: true,
        minifyWhitespace: true,
        // The loader reads bundles as Latin-1, which V8 stores in half the memory of UTF-16.
        charset: "ascii",
    });
    await buildFile({
        entryPoints: [resolve(import.meta.dirname, "loadBundle.mjs")],
        outfile: join(folder, `${role}.js`),
    });
    const script = resolve(import.meta.dirname, "createCodeCache.mjs");
    const { status, stderr } = spawnSync(process.execPath, [...options, script, folder, role], {
        encoding: "utf8",
        env: {},
    });
    if (status !== 0) {
        throw new Error(`can't create the code cache of ${role}: status ${status}, ${stderr}`);
    }
}

async function buildFile(options) {
    const { outputFiles } = await build({
        bundle: true,
        platform: "node",
        target: "node20",
        format: "cjs",
        logLevel: "warning",
        write: false,
        ...options,
    });
    for (const { path, contents } of outputFiles) {
        replaceFile(path, contents);
    }
}
