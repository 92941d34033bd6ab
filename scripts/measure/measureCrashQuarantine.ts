/*
 * Measures how many crashes pass until a guilty part of prompts is found, and how many sound parts are accused, by loads
 * with other crashes. Runs in virtual time without a network.
 */
import { CrashSimulationOptions, simulateCrashes } from "../../tests/crashQuarantine/simulateCrashes";

const seedCount = 20;
const stormMilliseconds = [9_000, 12_000, 15_000, 18_000, 21_000, 30_000];
const restarts = { restartIntervalMilliseconds: 300, lostShare: 0.1 };
const loads: readonly [string, Omit<CrashSimulationOptions, "seed">][] = [
    ["one guilty part", {}],
    ["two guilty parts", { guiltyParts: 2 }],
    ["three guilty parts", { guiltyParts: 3 }],
    ["a part that crashes 60 in 100 of its runs", { crashShare: 0.6 }],
    ["a part that crashes 30 in 100 of its runs", { crashShare: 0.3 }],
    ["no guilty part, six crashes of half of the engines", { guiltyParts: 0, stormMilliseconds }],
    ["one guilty part, six crashes of half of the engines", { stormMilliseconds }],
    ["no guilty part, one other crash a second", { guiltyParts: 0, otherCrashesPerSecond: 1 }],
    ["one guilty part, one other crash a second", { otherCrashesPerSecond: 1 }],
    ["no guilty part, 600 subjects, one other crash a second", {
        guiltyParts: 0,
        subjects: 600,
        otherCrashesPerSecond: 1,
    }],
    ["one guilty part, control can't be reached from 9 s to 25 s", { controlCutMilliseconds: [9_000, 25_000] }],
    ["one guilty part, three changes of the leader", { leaderChangeMilliseconds: [11_000, 12_000, 13_000] }],
    ["one guilty part, an entry process restarted each second", {
        entryRestartMilliseconds: [10_000, 11_000, 12_000, 13_000, 14_000, 15_000],
    }],
    ["no guilty part, three planned restarts a second, a tenth of the answers lost", { guiltyParts: 0, ...restarts }],
    ["one guilty part, three planned restarts a second, a tenth of the answers lost", restarts],
    ["three guilty parts, one other crash a second, three planned restarts a second, a tenth of the answers lost", {
        ...restarts,
        guiltyParts: 3,
        otherCrashesPerSecond: 1,
    }],
    ["no guilty part, a tenth of the responses broken off", { guiltyParts: 0, brokenShare: 0.1 }],
];

void measure();

async function measure(): Promise<void> {
    process.stdout.write("| Load | Verdicts | Crashes until the verdict (mean, most) | Late arrivals (most) | ");
    process.stdout.write("Sound parts accused | Sound requests that begin later |\n|---|---|---|---|---|---|\n");
    for (const [name, options] of loads) {
        const results = [];
        for (let seed = 1; seed <= seedCount; seed++) {
            results.push(await simulateCrashes({ ...options, seed }));
        }
        const crashes = results.flatMap(result => result.crashesUntilVerdict);
        const mean = crashes.reduce((sum, count) => sum + count, 0) / crashes.length;
        const mostLate = Math.max(...results.map(result => result.lateArrivals));
        const accused = results.reduce((sum, result) => sum + result.falseVerdicts.length, 0);
        const crashText = crashes.length === 0 ? "" : `${mean.toFixed(1)}, ${Math.max(...crashes)}`;
        const begun = results.reduce((sum, result) => sum + result.lateSoundShare, 0) / results.length;
        const fields = [name, crashes.length, crashText, mostLate, accused, begun.toFixed(2)];
        process.stdout.write(`| ${fields.join(" | ")} |\n`);
    }
}
