import fc from "fast-check";
import { getLevelKind, LevelKind, LevelSettings } from "../../../src/control/configuration";
import { TestOperation } from "./createTestCommand";

/**
 * A naive model of the configuration tree, with which property tests compare the configuration part: each level's own
 * settings by unit, such as `models.large`.
 */
export type NaiveTree = Readonly<Record<string, Readonly<Record<string, unknown>>>>;

/** The number of cases for each property; the environment variable PROPERTY_RUNS overrides it. */
export const propertyRuns = Number(process.env.PROPERTY_RUNS ?? 300);

const levelPaths = ["/", "/a", "/a/t", "/a/t/s", "/a/t/u", "/a/v", "/b", "/b/t", "/b/t/s"];

const unitValues = fc.oneof(
    fc.record({ setting: fc.constant("shareWeight"), value: fc.constantFrom(1, 2, 3, -1) }),
    fc.record({ setting: fc.constant("priority"), value: fc.constantFrom("deferred", "standard") }),
    fc.record({ setting: fc.constant("limits.requestsPerSecond"), value: fc.constantFrom(1, 2) }),
    fc.record({ setting: fc.constant("limits.concurrentRequests"), value: fc.constantFrom(1, 2, "many") }),
    fc.record({ setting: fc.constant("models.large"), value: fc.constantFrom({ allowed: true }, { allowed: false }) }),
    fc.record({ setting: fc.constant("models.small"), value: fc.constantFrom({ allowed: true }, {}) }),
    fc.record({ setting: fc.constant("services.lockers"), value: fc.constant([]) }),
);

/** Operations on a small tree, few of them invalid. */
export const operationArbitrary: fc.Arbitrary<TestOperation> = fc.oneof(
    { weight: 8, arbitrary: fc.record({ level: fc.constantFrom(...levelPaths), unit: unitValues }).map(toSetting) },
    { weight: 2, arbitrary: fc.record({ level: fc.constantFrom(...levelPaths), unit: unitValues }).map(toUnsetting) },
    { weight: 1, arbitrary: fc.record({ level: fc.constantFrom(...levelPaths), removeLevel: fc.constant(true) }) },
);

function toSetting({ level, unit }: { level: string; unit: { setting: string; value: unknown; }; }): TestOperation {
    return { level, ...unit };
}

function toUnsetting({ level, unit }: { level: string; unit: { setting: string; }; }): TestOperation {
    return { level, setting: unit.setting };
}

/** Applies operations to a tree; returns undefined if the change is invalid. */
export function applyNaively(tree: NaiveTree, operations: readonly TestOperation[]): NaiveTree | undefined {
    let result: Record<string, Record<string, unknown>> = structuredClone(tree) as never;
    for (const { level, setting, value, removeLevel } of operations) {
        if (removeLevel) {
            if (level === "/" || result[level] === undefined) {
                return undefined;
            }
            result = Object.fromEntries(
                Object.entries(result).filter(([path]) => path !== level && !path.startsWith(`${level}/`)),
            );
        }
        else if (value === undefined) {
            if (result[level] === undefined) {
                return undefined;
            }
            delete result[level][setting!];
        }
        else {
            getNaivePath(level).forEach(path => result[path] ??= {});
            result[level]![setting!] = value;
        }
    }
    const isValid = Object.values(result).every(units => Object.values(units).every(isNaivelyValid));
    return isValid ? result : undefined;
}

function isNaivelyValid(value: unknown): boolean {
    return ![-1, "many", "{}"].includes(typeof value === "object" ? JSON.stringify(value) : value as number);
}

/** Gets the paths from the root down to a level. */
export function getNaivePath(level: string): readonly string[] {
    const names = level.split("/").filter(name => name !== "");
    return ["/", ...names.map((name, index) => `/${[...names.slice(0, index), name].join("/")}`)];
}

/** Converts a level's units to the settings that the configuration part stores. */
export function toLevelSettings(units: Readonly<Record<string, unknown>>): LevelSettings {
    const settings: Record<string, unknown> = {};
    for (const [unit, value] of Object.entries(units)) {
        const [group, entry] = unit.split(".");
        settings[group!] = entry === undefined ? value : { ...settings[group!] as object, [entry]: value };
    }
    return settings;
}

/** Gets the value and origin of each unit in force at a level: that of the nearest level that sets it. */
export function getNaiveEffective(tree: NaiveTree, level: string): Record<string, { value: unknown; origin: string; }> {
    const effective: Record<string, { value: unknown; origin: string; }> = {};
    for (const path of getNaivePath(level)) {
        for (const [unit, value] of Object.entries(tree[path] ?? {})) {
            effective[unit] = { value, origin: path };
        }
    }
    return effective;
}

/** Gets the minimum of each limit over the levels from the workspace down to a level, including inherited limits. */
export function getNaiveMinimumLimits(tree: NaiveTree, level: string): Record<string, number> {
    const minimum: Record<string, number> = {};
    for (const path of getNaivePath(level).filter(path => getLevelKind(path) !== LevelKind.Root)) {
        for (const [unit, { value }] of Object.entries(getNaiveEffective(tree, path))) {
            if (unit.startsWith("limits.")) {
                const name = unit.slice("limits.".length);
                minimum[name] = Math.min(minimum[name] ?? Infinity, value as number);
            }
        }
    }
    return minimum;
}
