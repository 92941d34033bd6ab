// Bundles the program with esbuild and injects the bundle into a copy of node, which gives the one binary.
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";

const sentinelFuse = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";
const { version } = JSON.parse(readFileSync("package.json", "utf8"));

const chartSource = readFileSync("node_modules/chart.js/dist/chart.umd.min.js", "utf8");

mkdirSync("dist", { recursive: true });
const shared = {
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    external: ["dtrace-provider"],
    define: {
        BASILWING_VERSION: JSON.stringify(version),
        BASILWING_CHART_SOURCE: JSON.stringify(chartSource),
    },
    logLevel: "warning",
};
await build({ ...shared, entryPoints: ["src/main.ts"], outfile: "dist/basilwing.js" });
await build({ ...shared, entryPoints: ["src/index.ts"], outfile: "dist/index.js" });
writeFileSync(
    "dist/sea.json",
    JSON.stringify({ main: "dist/basilwing.js", output: "dist/basilwing.blob", disableExperimentalSEAWarning: true }),
);
execFileSync(process.execPath, ["--experimental-sea-config", "dist/sea.json"], { stdio: "ignore" });
copyFileSync(process.execPath, "dist/basilwing");
chmodSync("dist/basilwing", 0o755);
execFileSync(
    process.execPath,
    [
        "node_modules/postject/dist/cli.js",
        "dist/basilwing",
        "NODE_SEA_BLOB",
        "dist/basilwing.blob",
        "--sentinel-fuse",
        sentinelFuse,
    ],
    { stdio: "ignore" },
);
console.log("dist/basilwing");
