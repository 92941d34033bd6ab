/*
 * How large the configuration may grow. All that is counted in characters is ASCII, so that characters are bytes.
 */

/** The bounds of the configuration tree, its history and its kept answers; the same at every member. */
export const configurationLimits = {
    /** The most operations of one change. */
    maximumOperations: 50_000,
    /** The most characters of one change's values. */
    maximumChangeCharacters: 8_388_608,
    /** The most characters of one operation's value, as it is sent. */
    maximumValueCharacters: 131_072,
    /** The most levels of the tree. */
    maximumLevels: 100_000,
    /** The most characters of one level's settings, as JSON. */
    maximumLevelCharacters: 65_536,
    /** The most characters of the whole tree, so that a snapshot fits in one message. */
    maximumTreeCharacters: 16_777_216,
    /** The most characters of a change's id and of its author's name. */
    maximumNameCharacters: 128,
    /** The most problems told of one change. */
    maximumProblems: 20,
    /** The most characters of one problem. */
    maximumProblemCharacters: 400,
    /** The most changes kept in the history. */
    maximumHistoryEntries: 4_096,
    /** The most characters of settings kept in the history. */
    maximumHistoryCharacters: 8_388_608,
    /** The most answers kept for changes that are sent again. */
    maximumStoredOutcomes: 16_384,
};
