/*
 * Handles operators' queries about the tree and its history.
 */
import { parseJsonText } from "../../settings/validation";
import { compareLevelPaths } from "./compareLevelPaths";
import { ConfigurationHistory } from "./ConfigurationHistory";
import { ConfigurationQuery } from "./ConfigurationQuery";
import { ConfigurationQueryResult } from "./ConfigurationQueryResult";
import { ConfigurationTree } from "./ConfigurationTree";
import { createNullPrototypeObject } from "./createNullPrototypeObject";
import { EffectiveSettingsCache } from "./EffectiveSettingsCache";
import { getParentLevelPath } from "./getParentLevelPath";
import { getSettingDifferences } from "./getSettingDifferences";
import { getSubtreePaths } from "./getSubtreePaths";
import { HistoryEntry } from "./HistoryEntry";
import { HistoryQuery } from "./HistoryQuery";
import { HistoryQueryResult } from "./HistoryQueryResult";
import { HistoryRecord } from "./HistoryRecord";
import { isLevelBelow } from "./isLevelBelow";
import { LevelChange } from "./LevelChange";
import { LevelSettings } from "./LevelSettings";
import { rootLevelPath } from "./rootLevelPath";

const defaultPageRecords = 20;
const maximumPageRecords = 500;

interface ConfigurationQueries {
    /** Handles the configuration query; the argument is a level's path or a {@link ConfigurationQuery} as JSON. */
    getConfiguration(argument: string): ConfigurationQueryResult;
    /** Handles the history query; the argument is empty or a {@link HistoryQuery} as JSON. */
    getHistory(argument: string): HistoryQueryResult;
}

/** The data that the queries read. */
interface ConfigurationQueriesOptions {
    /** The configuration tree. */
    tree: ConfigurationTree;
    /** The settings in force at each level of the tree. */
    cache: EffectiveSettingsCache;
    /** The history of the tree's changes. */
    history: ConfigurationHistory;
    /** Gets the current revision of the tree. */
    getRevision: () => bigint;
}

/** Creates the queries over a tree and its history. */
export function createConfigurationQueries(options: ConfigurationQueriesOptions): ConfigurationQueries {
    const { tree, cache, history, getRevision } = options;
    return { getConfiguration, getHistory };

    function getConfiguration(argument: string): ConfigurationQueryResult {
        const { level, isSubtree } = parseConfigurationQuery(argument);
        const own = tree.getOwnSettings(level);
        const effective = cache.getEffectiveSettings(level);
        return {
            revision: Number(getRevision()),
            level,
            exists: own !== undefined,
            own: own ?? {},
            effective: effective.values,
            origins: effective.origins,
            children: [...tree.getLevels().keys()]
                .filter(path => getParentLevelPath(path) === level)
                .sort(compareLevelPaths),
            levels: isSubtree ? getSubtree(level) : undefined,
        };
    }

    function getSubtree(level: string): Readonly<Record<string, LevelSettings>> {
        const paths = [...getSubtreePaths(tree.getLevels(), level)].sort(compareLevelPaths);
        return createNullPrototypeObject(paths.map(path => [path, tree.getOwnSettings(path)!]));
    }

    function getHistory(argument: string): HistoryQueryResult {
        const query = parseHistoryQuery(argument);
        switch (query.kind) {
            case "page":
                return getPage(query);
            case "difference":
                return getDifference(query);
        }
    }

    function getPage(query: Extract<HistoryQuery, { kind: "page"; }>): HistoryQueryResult {
        const limit = Math.min(Math.max(1, query.limit ?? defaultPageRecords), maximumPageRecords);
        const before = query.before ?? Infinity;
        const level = query.level ?? rootLevelPath;
        const records: HistoryRecord[] = [];
        const entries = history.getEntries();
        for (let index = entries.length - 1; index >= 0 && records.length < limit; index--) {
            const entry = entries[index]!;
            const changes = entry.changes.filter(change => change.level === level || isLevelBelow(change.level, level));
            const isWholeTree = level === rootLevelPath;
            if (Number(entry.revision) < before && (isWholeTree || changes.length > 0)) {
                records.push(createHistoryRecord(entry, changes));
            }
        }
        return { kind: "page", ...getRevisionRange(), records };
    }

    function getDifference(query: Extract<HistoryQuery, { kind: "difference"; }>): HistoryQueryResult {
        const { revision, oldestRevision } = getRevisionRange();
        const to = query.to ?? revision;
        const earlier = Math.min(query.from, to);
        const later = Math.max(query.from, to);
        if (!Number.isSafeInteger(earlier) || earlier < oldestRevision || later > revision) {
            return { kind: "notKept", revision, oldestRevision };
        }
        const entries = history.getEntriesSince(BigInt(earlier)) ?? [];
        const changes = mergeChangesByLevel(entries.slice(0, later - earlier));
        const isForward = query.from <= to;
        const orderedChanges = isForward ? changes : changes.map(invertChange);
        return { kind: "difference", from: query.from, to, differences: getSettingDifferences(orderedChanges) };
    }

    /** Gets the newest revision and the oldest one that the history can reconstruct. */
    function getRevisionRange(): { revision: number; oldestRevision: number; } {
        const revision = getRevision();
        const oldestRetained = history.getEntries()[0]?.revision;
        const oldest = oldestRetained === undefined ? revision : oldestRetained - 1n;
        return { revision: Number(revision), oldestRevision: Number(oldest) };
    }
}

function createHistoryRecord(entry: HistoryEntry, changes: readonly LevelChange[]): HistoryRecord {
    return {
        revision: Number(entry.revision),
        changeId: entry.changeId,
        author: entry.author,
        timeMilliseconds: entry.timeMilliseconds,
        differences: getSettingDifferences(changes),
    };
}

/** Merges consecutive changes into one change for each level. */
function mergeChangesByLevel(entries: readonly HistoryEntry[]): readonly LevelChange[] {
    const changesByLevel = new Map<string, LevelChange>();
    for (const { level, before, after } of entries.flatMap(entry => entry.changes)) {
        const earlier = changesByLevel.get(level);
        changesByLevel.set(level, { level, before: earlier === undefined ? before : earlier.before, after });
    }
    return [...changesByLevel.values()];
}

function invertChange({ level, before, after }: LevelChange): LevelChange {
    return { level, before: after, after: before };
}

function parseConfigurationQuery(argument: string): ConfigurationQuery {
    if (!argument.startsWith("{")) {
        return { level: argument === "" ? rootLevelPath : argument };
    }
    const query = parseObject(argument) as Partial<ConfigurationQuery>;
    return { level: String(query.level ?? rootLevelPath), isSubtree: query.isSubtree === true };
}

function parseHistoryQuery(argument: string): HistoryQuery {
    const query = parseObject(argument) as Partial<HistoryQuery>;
    return query.kind === "difference" && typeof query.from === "number"
        ? query as HistoryQuery
        : { ...query, kind: "page" } as HistoryQuery;
}

function parseObject(argument: string): object {
    const parsed = parseJsonText(argument === "" ? "{}" : argument);
    const isObject = parsed.kind === "parsed" && typeof parsed.value === "object" && Boolean(parsed.value);
    return isObject ? parsed.value as object : {};
}
