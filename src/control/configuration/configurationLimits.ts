/*
 * The size limits of the configuration. All texts that are counted in characters are ASCII, so that one character is
 * one byte.
 */

/**
 * The limits of the configuration tree, its history and its stored change outcomes. They are the same at every control
 * member.
 */
export const configurationLimits = {
    /** The maximum number of operations in one change. */
    maximumOperations: 50_000,
    /** The maximum number of characters in all values of one change. */
    maximumChangeCharacters: 8_388_608,
    /** The maximum number of characters in the value of one operation, as it is received. */
    maximumValueCharacters: 131_072,
    /** The maximum number of levels in the tree. */
    maximumLevels: 100_000,
    /** The maximum number of characters in the settings of one level, formatted as JSON. */
    maximumLevelCharacters: 65_536,
    /** The maximum number of characters in the whole tree, so that a snapshot fits in one message. */
    maximumTreeCharacters: 16_777_216,
    /** The maximum number of characters in a change's id, and in its author's name. */
    maximumNameCharacters: 128,
    /** The maximum number of problems that are reported for one change. */
    maximumProblems: 20,
    /** The maximum number of characters in one problem; longer problems are truncated. */
    maximumProblemCharacters: 400,
    /** The maximum number of changes in the history. */
    maximumHistoryEntries: 4_096,
    /** The maximum number of characters in the level paths and settings of the history. */
    maximumHistoryCharacters: 8_388_608,
    /** The maximum number of outcomes that are stored for retried changes. */
    maximumStoredOutcomes: 16_384,
};
