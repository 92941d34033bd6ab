/*
 * Measures the configuration tree at several sizes: processor time and bytes per change, memory per level, and the cost
 * of looking up settings. Prints one line of JSON for each figure: {name, value, unit}.
 *
 * Run: npx tsx scripts/measure/measureConfiguration.ts [workspaces ...]
 */
import { toBinary } from "@bufbuild/protobuf";
import { createHash } from "node:crypto";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import {
    ConfigurationPart,
    createConfigurationPart,
    createConfigurationView,
    createInitialChange,
    LevelSettings,
} from "../../src/control/configuration";
import { ConfigurationDeltaSchema, ConfigurationSnapshotSchema } from "../../src/protocol";
import { applyTestChange } from "../../tests/control/configuration/createTestCommand";

const teamsPerWorkspace = 2;
const subscribersPerTeam = 5;
const changeCount = 2_000;
const lookupCount = 100_000;
const defaultSizes = [220, 1_100, 2_200];

setFlagsFromString("--expose-gc");
const collectGarbage = runInNewContext("gc") as () => void;

function printFigure(name: string, workspaces: number, value: number, unit: string): void {
    console.log(
        JSON.stringify({ name: `configuration.${name}[${workspaces}]`, value: Number(value.toPrecision(4)), unit }),
    );
}

/** Creates the levels of a tree in the shape that the larger of the two users may have. */
function createLevels(workspaces: number): Map<string, LevelSettings> {
    const levels = new Map<string, LevelSettings>([["/", {
        models: { large: { allowed: true, versions: ["7", "8"] }, small: { allowed: true } },
        limits: { requestsPerSecond: 50 },
    }]]);
    for (let workspace = 0; workspace < workspaces; workspace++) {
        const path = `/workspace-${workspace}`;
        levels.set(path, {
            shareWeight: 1 + workspace % 3,
            limits: { requestsPerSecond: 20, tokensPerMinute: 2_000_000 },
            services: { lockers: [{ method: "POST", path: "/release", idempotent: false }] },
        });
        for (let team = 0; team < teamsPerWorkspace; team++) {
            levels.set(`${path}/team-${team}`, { priority: "standard" as never });
            for (let subscriber = 0; subscriber < subscribersPerTeam; subscriber++) {
                const level = `${path}/team-${team}/subscriber-${subscriber}`;
                levels.set(level, { keyDigests: [getDigest(level)], limits: { concurrentRequests: 8 } });
            }
        }
    }
    return levels;
}

function getDigest(key: string): string {
    return createHash("sha256").update(key).digest("hex");
}

/** Gets the processor time of a task in microseconds. */
function getMicroseconds(task: () => void): number {
    const before = process.cpuUsage();
    task();
    const { user, system } = process.cpuUsage(before);
    return user + system;
}

function getHeapBytes(): number {
    collectGarbage();
    collectGarbage();
    return process.memoryUsage().heapUsed;
}

/** Creates a part with a tree in one change; errors if the tree is too large for one change. */
function createFilledPart(workspaces: number): ConfigurationPart {
    const part = createConfigurationPart();
    const change = createInitialChange(createLevels(workspaces));
    const context = { term: 1n, index: 1n, timeMilliseconds: 0 };
    part.apply({ command: { case: "configuration", value: change } } as never, context);
    if (part.getRevision() !== 1n) {
        throw new Error("The tree was not accepted");
    }
    return part;
}

function measure(workspaces: number): void {
    const emptyHeap = getHeapBytes();
    const original = createFilledPart(workspaces);
    const snapshot = original.takeSnapshot();
    const part = createConfigurationPart();
    const levelCount = Object.keys(original.getSnapshot().levels).length;
    printFigure("levels", workspaces, levelCount, "levels");
    printFigure(
        "restore",
        workspaces,
        getMicroseconds(() => part.restoreSnapshot(snapshot)) / 1_000,
        "ms processor time",
    );
    printFigure("memberSnapshotBytes", workspaces, snapshot.length, "bytes");
    printFigure("takeSnapshot", workspaces, getMicroseconds(() => part.takeSnapshot()) / 1_000, "ms processor time");
    measureMemory(workspaces, levelCount, snapshot, emptyHeap);
    measureChanges(workspaces, part);
    measureView(workspaces, part);
}

function measureMemory(workspaces: number, levelCount: number, snapshot: Uint8Array, emptyHeap: number): void {
    const before = getHeapBytes();
    const part = createConfigurationPart();
    part.restoreSnapshot(snapshot);
    const withPart = getHeapBytes();
    printFigure("part.bytesPerLevel", workspaces, (withPart - before) / levelCount, "bytes of heap a level");
    const message = toBinary(ConfigurationSnapshotSchema, part.getSnapshot());
    printFigure("streamSnapshotBytes", workspaces, message.length, "bytes");
    const view = createConfigurationView();
    const beforeView = getHeapBytes();
    view.applySnapshot(part.getSnapshot());
    printFigure("view.bytesPerLevel", workspaces, (getHeapBytes() - beforeView) / levelCount, "bytes of heap a level");
    view.getLevelPaths().forEach(view.getEffectiveSettings);
    const withEffective = getHeapBytes();
    printFigure(
        "view.bytesPerLevelAllUsed",
        workspaces,
        (withEffective - beforeView) / levelCount,
        "bytes of heap a level",
    );
    printFigure("heapGrowth", workspaces, (withEffective - emptyHeap) / 1_048_576, "MiB for part and view together");
}

function measureChanges(workspaces: number, part: ConfigurationPart): void {
    const view = createConfigurationView();
    view.applySnapshot(part.getSnapshot());
    let deltaBytes = 0;
    let viewMicroseconds = 0;
    const firstRevision = part.getRevision();
    const partMicroseconds = getMicroseconds(() => {
        for (let index = 0; index < changeCount; index++) {
            const level = `/workspace-${index % workspaces}`;
            const operations = [{ level, setting: "limits.requestsPerSecond", value: index }];
            applyTestChange(part, { changeId: `m-${index}`, expectedRevision: part.getRevision(), operations });
        }
    });
    const deltas = part.getDeltasSince(firstRevision)!;
    viewMicroseconds = getMicroseconds(() => deltas.forEach(delta => view.applyDelta(delta)));
    deltaBytes = deltas.reduce((sum, delta) => sum + toBinary(ConfigurationDeltaSchema, delta).length, 0);
    printFigure("part.change", workspaces, partMicroseconds / changeCount, "us processor time a change");
    printFigure("view.change", workspaces, viewMicroseconds / changeCount, "us processor time a change");
    printFigure("deltaBytes", workspaces, deltaBytes / changeCount, "bytes a change and stream");
    printFigure("part.getSnapshot", workspaces, getMicroseconds(() => part.getSnapshot()) / 1_000, "ms processor time");
    const removal = [{ level: "/workspace-0", removeLevel: true }];
    const removalMicroseconds = getMicroseconds(() => {
        applyTestChange(part, { changeId: "removal", expectedRevision: part.getRevision(), operations: removal });
    });
    printFigure("part.removeWorkspace", workspaces, removalMicroseconds, "us processor time");
}

function measureView(workspaces: number, part: ConfigurationPart): void {
    const view = createConfigurationView();
    const snapshotMicroseconds = getMicroseconds(() => view.applySnapshot(part.getSnapshot()));
    printFigure("view.applySnapshot", workspaces, snapshotMicroseconds / 1_000, "ms processor time");
    const paths = view.getLevelPaths().filter(path => path.split("/").length === 4);
    const coldMicroseconds = getMicroseconds(() => paths.forEach(view.getEffectiveSettings));
    printFigure(
        "view.firstLookup",
        workspaces,
        coldMicroseconds / paths.length,
        "us processor time a level and revision",
    );
    const warmMicroseconds = getMicroseconds(() => {
        for (let index = 0; index < lookupCount; index++) {
            view.getEffectiveSettings(paths[index % paths.length]!);
        }
    });
    printFigure("view.lookup", workspaces, warmMicroseconds / lookupCount, "us processor time a lookup");
    const keyMicroseconds = getMicroseconds(() => {
        for (let index = 0; index < lookupCount; index++) {
            view.getSubscriberByKey(paths[index % paths.length]!);
        }
    });
    printFigure("view.lookupByKey", workspaces, keyMicroseconds / lookupCount, "us processor time a lookup");
}

/** Warms up the JIT compiler, so that no figure includes compilation. */
function warmUp(): void {
    const part = createFilledPart(2);
    const view = createConfigurationView();
    for (let index = 0; index < changeCount; index++) {
        const operations = [{ level: "/workspace-1", setting: "shareWeight", value: index + 1 }];
        applyTestChange(part, { changeId: `w-${index}`, expectedRevision: part.getRevision(), operations });
        view.applySnapshot(part.getSnapshot());
        view.getLevelPaths().forEach(path => view.getSubscriberByKey(path));
    }
}

warmUp();
const sizes = process.argv.slice(2).map(Number);
(sizes.length > 0 ? sizes : defaultSizes).forEach(measure);
