/*
 * Validates the parts of a change that don't depend on the tree.
 */
import { ConfigurationChange } from "../../protocol";
import { configurationLimits } from "./configurationLimits";

const visibleAsciiPattern = /^[!-~]+$/;

/** Gets the first problem in the id, author, number of operations or size of a change; undefined if there is none. */
export function getChangeFormatProblem(change: ConfigurationChange): string | undefined {
    const { changeId, author, operations } = change;
    const { maximumNameCharacters, maximumOperations, maximumChangeCharacters } = configurationLimits;
    if (!visibleAsciiPattern.test(changeId) || changeId.length > maximumNameCharacters) {
        return `the change's id must be 1 to ${maximumNameCharacters} visible ASCII characters`;
    }
    if (author === "" || author.length > maximumNameCharacters) {
        return `the author's name must be 1 to ${maximumNameCharacters} characters`;
    }
    if (operations.length === 0 || operations.length > maximumOperations) {
        return `a change must have 1 to ${maximumOperations} operations, not ${operations.length}`;
    }
    const characterCount = operations.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
    if (characterCount > maximumChangeCharacters) {
        return `the change's values have ${characterCount} characters, the most is ${maximumChangeCharacters}`;
    }
    return undefined;
}
