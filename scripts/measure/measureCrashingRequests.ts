/*
 * Measures how many servers a guilty request crashes, how many of its runs come late, and what sound requests get, by
 * loads with other crashes and faults. Runs whole entry processes in virtual time without a network.
 */
import {
    RequestSimulationOptions,
    simulateCrashingRequests,
} from "../../tests/crashQuarantine/simulateCrashingRequests";

const seedCount = 20;
const stormMilliseconds = [9_000, 12_000, 15_000, 18_000, 21_000, 30_000];
const restarts = { restartIntervalMilliseconds: 1_000, lostShare: 0.1 };
const loads: readonly [string, Omit<RequestSimulationOptions, "seed">][] = [
    ["one guilty request", {}],
    ["one guilty request, engines", { kind: "engine" }],
    ["three guilty requests that come together", { guiltyRequests: 3 }],
    ["three guilty requests that come together, engines", { guiltyRequests: 3, kind: "engine" }],
    ["one guilty request each 350 ms", { guiltyIntervalMilliseconds: 350 }],
    ["one guilty request each 350 ms, engines", { guiltyIntervalMilliseconds: 350, kind: "engine" }],
    ["the same caller sends sound requests with the same path", { twin: "otherBody" }],
    ["another workspace sends the same request, which is sound", { twin: "otherWorkspace" }],
    ["a request that crashes 60 in 100 of its runs", { crashShare: 0.6 }],
    ["a request that crashes 60 in 100 of its runs, engines", { crashShare: 0.6, kind: "engine" }],
    ["none guilty, six crashes of half of the servers", { guiltyRequests: 0, stormMilliseconds }],
    ["the same, lost requests are not sent again", { guiltyRequests: 0, stormMilliseconds, resendsLost: false }],
    ["one guilty request, six crashes of half of the servers", { stormMilliseconds }],
    ["the same, lost requests are not sent again", { stormMilliseconds, resendsLost: false }],
    ["none guilty, one other crash a second", { guiltyRequests: 0, otherCrashesPerSecond: 1 }],
    ["none guilty, one other crash a second, engines", {
        guiltyRequests: 0,
        otherCrashesPerSecond: 1,
        kind: "engine",
    }],
    ["one guilty request, one other crash a second", { otherCrashesPerSecond: 1 }],
    ["none guilty, a tenth of the responses broken off", { guiltyRequests: 0, brokenShare: 0.1 }],
    ["none guilty, planned restarts each second, a tenth of the answers lost", { guiltyRequests: 0, ...restarts }],
    ["the same, engines", { guiltyRequests: 0, ...restarts, kind: "engine" }],
    ["one guilty request, planned restarts each second, a tenth of the answers lost", restarts],
    ["the same, engines", { ...restarts, kind: "engine" }],
    ["one guilty request, control can't be reached from 4 s to 20 s", { controlCutMilliseconds: [4_000, 20_000] }],
    ["one guilty request, five changes of the leader", {
        leaderChangeMilliseconds: [5_200, 5_900, 10_500, 11_000, 15_500],
    }],
    ["one guilty request, six restarts of entry processes", {
        entryRestartMilliseconds: [5_300, 5_600, 6_000, 10_000, 10_300, 11_000],
    }],
    ["one guilty request, two servers", { serverCount: 2 }],
    ["one guilty request, one entry process", { entryCount: 1 }],
];

void measure();

async function measure(): Promise<void> {
    process.stdout.write("| Load | Crashes (mean, most) | Late runs (most) | Sound requests refused | ");
    process.stdout.write("Sound requests served | With one delivery more |\n|---|---|---|---|---|---|\n");
    for (const [name, options] of loads) {
        const results = [];
        for (let seed = 1; seed <= seedCount; seed++) {
            results.push(await simulateCrashingRequests({ ...options, seed }));
        }
        const crashes = results.flatMap(result => result.crashes);
        const crashText = crashes.length === 0 ? "" : `${getMean(crashes).toFixed(1)}, ${Math.max(...crashes)}`;
        const lateText = crashes.length === 0 ? "" : Math.max(...results.flatMap(result => result.lateRuns));
        const refused = results.reduce((sum, result) => sum + result.falseVerdicts.length, 0);
        const served = getMean(results.map(result => result.soundServedShare)).toFixed(3);
        const servedTwice = getMean(results.map(result => result.soundServedTwiceShare)).toFixed(3);
        process.stdout.write(`| ${[name, crashText, lateText, refused, served, servedTwice].join(" | ")} |\n`);
    }
}

function getMean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}
