// Bundles the platform's programs with esbuild, one file a role, so that a role loads nothing that it does not run.
import { build } from "esbuild";
import { mkdirSync } from "node:fs";

mkdirSync("target", { recursive: true });
await build({
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    external: ["dtrace-provider"],
    entryPoints: { entry: "platform/entry.ts", control: "platform/control.ts" },
    outdir: "target",
    minifySyntax: true,
    minifyWhitespace: true,
    logLevel: "warning",
});
