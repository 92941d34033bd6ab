/*
 * Describes a conflict to an operator whose change expected another revision than the newest.
 */
import { ConfigurationOperation } from "../../protocol";
import { configurationLimits } from "./configurationLimits";
import { ConfigurationTree } from "./ConfigurationTree";
import { formatSettingName } from "./formatSettingName";
import { getSettingUnits } from "./getSettingUnits";
import { HistoryEntry } from "./HistoryEntry";
import { parseSettingName } from "./parseSettingName";

const maximumListedItems = 5;

/**
 * Lists the most recent changes after the expected revision, and the current values of the settings that the operator
 * wanted to change.
 * @param tree - The current tree.
 * @param operations - The operations of the rejected change.
 * @param entries - The changes after the expected revision, oldest first; undefined if the history does not hold them.
 */
export function getConflictProblems(
    tree: ConfigurationTree,
    operations: readonly ConfigurationOperation[],
    entries: readonly HistoryEntry[] | undefined,
): readonly string[] {
    const changeDescriptions = (entries ?? []).slice(-maximumListedItems).map(entry => {
        const levels = entry.changes.map(change => change.level).slice(0, maximumListedItems).join(" ");
        return `revision ${entry.revision} by ${entry.author} changed ${levels}`;
    });
    const currentValues = operations.map(operation => describeCurrentValue(tree, operation));
    const problems = [...new Set([...changeDescriptions, ...currentValues])];
    return problems
        .slice(0, configurationLimits.maximumProblems)
        .map(problem => problem.slice(0, configurationLimits.maximumProblemCharacters));
}

function describeCurrentValue(tree: ConfigurationTree, { level, setting }: ConfigurationOperation): string {
    const settings = tree.getOwnSettings(level);
    if (settings === undefined) {
        return `${level.slice(0, 200)}: there is no such level now`;
    }
    const parts = parseSettingName(setting);
    if (parts === undefined) {
        return `${level}: now ${JSON.stringify(settings)}`;
    }
    const unit = getSettingUnits(settings).find(({ group, entry }) => {
        return group === parts[0] && (entry === undefined || parts[1] === undefined || entry === parts[1]);
    });
    const name = formatSettingName(parts.slice(0, unit?.entry === undefined ? 1 : 2));
    return `${level}: ${name}: now ${unit === undefined ? "not set here" : JSON.stringify(unit.value)}`;
}
