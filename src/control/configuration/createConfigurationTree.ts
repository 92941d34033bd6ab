/*
 * The levels of the configuration, stored as JSON texts that are parsed on each read. This is the most compact form and
 * the one that snapshots contain.
 */
import { ConfigurationOperation } from "../../protocol";
import { configurationLimits } from "./configurationLimits";
import { ConfigurationTree } from "./ConfigurationTree";
import { createTreeEdit } from "./createTreeEdit";
import { getSubtreePaths } from "./getSubtreePaths";
import { LevelChange } from "./LevelChange";
import { LevelSettings } from "./LevelSettings";
import { rootLevelPath } from "./rootLevelPath";
import { TreeEditOutcome } from "./TreeEditOutcome";

const emptySettingsJson = "{}";

/** Creates a tree with an empty root. */
export function createConfigurationTree(): ConfigurationTree {
    const levels = new Map<string, string>();
    const subscribersByDigest = new Map<string, string>();
    let characterCount = 0;
    replaceLevels([]);
    return {
        getLevels: () => levels,
        getOwnSettings,
        getSubscriberPath: keyDigest => subscribersByDigest.get(keyDigest),
        edit,
        setLevel,
        replaceLevels,
    };

    function getOwnSettings(levelPath: string): LevelSettings | undefined {
        const json = levels.get(levelPath);
        return json === undefined ? undefined : JSON.parse(json) as LevelSettings;
    }

    function edit(operations: readonly ConfigurationOperation[]): TreeEditOutcome {
        const treeEdit = createTreeEdit(levels, subscribersByDigest);
        const outcome = treeEdit.run(operations);
        if (outcome.kind === "invalid") {
            return outcome;
        }
        const problem = getSizeProblem(outcome.changes);
        if (problem !== undefined) {
            return { kind: "invalid", problems: [problem] };
        }
        applyChanges(outcome.changes);
        return outcome;
    }

    /** Returns a problem if the changes would make the tree exceed its limits. */
    function getSizeProblem(changes: readonly LevelChange[]): string | undefined {
        let levelCount = levels.size;
        let newCharacterCount = characterCount;
        for (const { level, before, after } of changes) {
            levelCount += Number(after !== undefined) - Number(before !== undefined);
            newCharacterCount += getCharacterCount(level, after) - getCharacterCount(level, before);
        }
        if (levelCount > configurationLimits.maximumLevels) {
            return `the tree would have ${levelCount} levels, the most is ${configurationLimits.maximumLevels}`;
        }
        if (newCharacterCount > configurationLimits.maximumTreeCharacters) {
            const maximum = configurationLimits.maximumTreeCharacters;
            return `the tree would have ${newCharacterCount} characters, the most is ${maximum}`;
        }
        return undefined;
    }

    function applyChanges(changes: readonly LevelChange[]): void {
        for (const { level, after } of changes) {
            if (after === undefined) {
                removeSingleLevel(level);
            }
            else {
                putLevel(level, after);
            }
        }
    }

    function setLevel(levelPath: string, json: string | undefined): void {
        if (json !== undefined) {
            putLevel(levelPath, json);
            return;
        }
        getSubtreePaths(levels, levelPath).forEach(removeSingleLevel);
    }

    function replaceLevels(newLevels: Iterable<readonly [string, string]>): void {
        levels.clear();
        subscribersByDigest.clear();
        characterCount = 0;
        putLevel(rootLevelPath, emptySettingsJson);
        for (const [level, json] of newLevels) {
            putLevel(level, json);
        }
    }

    function putLevel(level: string, json: string): void {
        removeSingleLevel(level);
        levels.set(level, json);
        characterCount += getCharacterCount(level, json);
        getKeyDigests(json).forEach(digest => subscribersByDigest.set(digest, level));
    }

    function removeSingleLevel(level: string): void {
        const json = levels.get(level);
        if (json === undefined) {
            return;
        }
        levels.delete(level);
        characterCount -= getCharacterCount(level, json);
        for (const digest of getKeyDigests(json)) {
            // A key that was moved in the same transaction may already belong to its new subscriber.
            if (subscribersByDigest.get(digest) === level) {
                subscribersByDigest.delete(digest);
            }
        }
    }
}

function getCharacterCount(level: string, json: string | undefined): number {
    return json === undefined ? 0 : level.length + json.length;
}

/** Gets a level's key digests; only levels with key digests are parsed. */
function getKeyDigests(json: string): readonly string[] {
    return json.includes("\"keyDigests\"") ? (JSON.parse(json) as LevelSettings).keyDigests ?? [] : [];
}
