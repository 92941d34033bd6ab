// Bundles the platform's programs with esbuild, one file a role, so that a role loads nothing that it does not run. Beside each
// bundle lies its V8 code cache, which saves the compilation at each start.
import { readFileSync } from "node:fs";
import { resolve } from "node:path";
import { buildRole } from "./bundle/buildRole.mjs";

const deployment = readFileSync("deploy/system.toml", "utf8");
for (const role of ["entry", "control"]) {
    // V8 accepts a code cache only under the options under which it was created, so these come from the command that runs the role.
    const options = deployment.match(new RegExp(`"node (.*)target/${role}\\.js"`))?.[1].split(" ").filter(Boolean)
        ?? [];
    await buildRole({ role, entryPoint: `scripts/bundle/${role}.mjs`, folder: resolve("target"), options });
}
