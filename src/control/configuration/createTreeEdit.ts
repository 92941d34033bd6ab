/*
 * A transaction on the configuration tree. Its operations are applied to copies of the levels, and the copies are
 * validated at the end, so that an operation may depend on a later one of the same transaction.
 */
import { ConfigurationOperation } from "../../protocol";
import { formatValueProblem } from "../../settings/validation";
import { checkLevelSettings } from "./checkLevelSettings";
import { compareLevelPaths } from "./compareLevelPaths";
import { configurationLimits } from "./configurationLimits";
import { editLevelSettings } from "./editLevelSettings";
import { formatLevelSettings } from "./formatLevelSettings";
import { getLevelKind } from "./getLevelKind";
import { getLevelPathsFromRoot } from "./getLevelPathsFromRoot";
import { getSubtreePaths } from "./getSubtreePaths";
import { LevelChange } from "./LevelChange";
import { LevelSettings } from "./LevelSettings";
import { rootLevelPath } from "./rootLevelPath";
import { TreeEditOutcome } from "./TreeEditOutcome";

/** A transaction on the tree. */
interface TreeEdit {
    /** Applies the operations to copies of the levels; the tree itself stays unchanged. */
    run(operations: readonly ConfigurationOperation[]): TreeEditOutcome;
}

/**
 * Creates a transaction.
 * @param levels - The tree's levels as JSON, by path.
 * @param subscribersByDigest - The path of the subscriber that each key belongs to, by the key's digest.
 */
export function createTreeEdit(
    levels: ReadonlyMap<string, string>,
    subscribersByDigest: ReadonlyMap<string, string>,
): TreeEdit {
    const editedLevels = new Map<string, LevelSettings | undefined>();
    const problems: string[] = [];
    return { run };

    function run(operations: readonly ConfigurationOperation[]): TreeEditOutcome {
        operations.forEach(runOperation);
        if (problems.length > 0) {
            return { kind: "invalid", problems };
        }
        const changes = getChanges();
        if (problems.length === 0) {
            checkKeys(changes);
        }
        return problems.length > 0 ? { kind: "invalid", problems } : { kind: "edited", changes };
    }

    function runOperation(operation: ConfigurationOperation): void {
        const { level, setting, value, removeLevel } = operation;
        if (getLevelKind(level) === undefined) {
            addProblem(`${JSON.stringify(level.slice(0, 80))} is no level's path`);
        }
        else if (removeLevel) {
            runRemoval(operation);
        }
        else if (value === undefined && setting !== "" && !hasLevel(level)) {
            addProblem(`${level}: there is no such level`);
        }
        else {
            runEdit(level, setting, value);
        }
    }

    function runRemoval({ level, setting, value }: ConfigurationOperation): void {
        if (setting !== "" || value !== undefined) {
            addProblem(`${level}: the removal of a level names no setting`);
        }
        else if (level === rootLevelPath) {
            addProblem("/: the root can't be removed");
        }
        else if (!hasLevel(level)) {
            addProblem(`${level}: there is no such level`);
        }
        else {
            removeLevels(level);
        }
    }

    /** Removes a level and its descendants. */
    function removeLevels(level: string): void {
        const paths = [...getSubtreePaths(levels, level), ...getSubtreePaths(editedLevels, level)];
        paths.forEach(path => editedLevels.set(path, undefined));
    }

    function runEdit(level: string, setting: string, value: string | undefined): void {
        for (const path of getLevelPathsFromRoot(level)) {
            if (!hasLevel(path)) {
                editedLevels.set(path, {});
            }
        }
        const outcome = editLevelSettings(getSettings(level), setting, value);
        if (outcome.kind === "invalid") {
            addProblem(`${level}: ${outcome.problem}`);
            return;
        }
        editedLevels.set(level, outcome.settings);
    }

    function hasLevel(level: string): boolean {
        return editedLevels.has(level) ? editedLevels.get(level) !== undefined : levels.has(level);
    }

    function getSettings(level: string): LevelSettings {
        return editedLevels.get(level) ?? JSON.parse(levels.get(level)!) as LevelSettings;
    }

    /** Validates the edited levels and returns those that differ from the tree. */
    function getChanges(): readonly LevelChange[] {
        const changes: LevelChange[] = [];
        // Sorted, since the order of the tree's map differs between a member that kept running and one that restarted.
        const edited = [...editedLevels].sort(([first], [second]) => compareLevelPaths(first, second));
        for (const [level, settings] of edited) {
            const before = levels.get(level);
            const after = settings === undefined ? undefined : checkAndFormat(level, settings);
            if (before !== after) {
                changes.push({ level, before, after });
            }
        }
        return changes;
    }

    function checkAndFormat(level: string, settings: LevelSettings): string | undefined {
        const levelProblems = checkLevelSettings(getLevelKind(level)!, settings);
        if (levelProblems.length > 0) {
            levelProblems.forEach(problem => addProblem(`${level}: ${formatValueProblem(problem)}`));
            return undefined;
        }
        const json = formatLevelSettings(settings);
        const maximum = configurationLimits.maximumLevelCharacters;
        if (json.length > maximum) {
            addProblem(`${level}: the settings have ${json.length} characters, the most is ${maximum}`);
        }
        return json;
    }

    /** Adds a problem for each key that would belong to two subscribers. */
    function checkKeys(changes: readonly LevelChange[]): void {
        const changedLevels = new Set(changes.map(change => change.level));
        const ownersByDigest = new Map<string, string>();
        for (const { level, after } of changes) {
            const digests = after === undefined ? [] : (JSON.parse(after) as LevelSettings).keyDigests ?? [];
            for (const digest of digests) {
                const treeOwner = subscribersByDigest.get(digest);
                const isOwnerUnchanged = treeOwner !== undefined && !changedLevels.has(treeOwner);
                const owner = isOwnerUnchanged ? treeOwner : ownersByDigest.get(digest);
                if (owner !== undefined && owner !== level) {
                    addProblem(`${level}: keyDigests: one of the keys already names ${owner}`);
                }
                ownersByDigest.set(digest, level);
            }
        }
    }

    function addProblem(problem: string): void {
        if (problems.length < configurationLimits.maximumProblems) {
            problems.push(problem.slice(0, configurationLimits.maximumProblemCharacters));
        }
    }
}
