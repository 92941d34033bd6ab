/*
 * Validates the content of a declarative configuration file and lists its levels.
 */
import { createSchemaCheck, ValueProblem } from "../../settings/validation";
import { ConfigurationFileNode } from "./ConfigurationFileNode";
import { ConfigurationFileOutcome } from "./ConfigurationFileOutcome";
import { createConfigurationTree } from "./createConfigurationTree";
import { getChildLevelPath } from "./getChildLevelPath";
import { getChildrenPropertyName } from "./getChildrenPropertyName";
import { getConfigurationFileSchema } from "./getConfigurationFileSchema";
import { getLevelKind } from "./getLevelKind";
import { LevelKind } from "./LevelKind";
import { LevelSettings } from "./LevelSettings";
import { planConfiguration } from "./planConfiguration";
import { rootLevelPath } from "./rootLevelPath";

const compiledChecks = new Map<LevelKind, (value: unknown) => readonly ValueProblem[]>();

/**
 * Validates a file's content against the schema, and then like a change of an empty tree.
 * @param content - The parsed JSON.
 * @param levelPath - The path of the file's top level; the root if absent.
 */
export function parseConfigurationFile(content: unknown, levelPath: string = rootLevelPath): ConfigurationFileOutcome {
    const kind = getLevelKind(levelPath);
    if (kind === undefined) {
        return createInvalidOutcome({ path: "", found: JSON.stringify(levelPath), expected: "a level's path" });
    }
    const problems = getCheck(kind)(content);
    if (problems.length > 0) {
        return { kind: "invalid", problems };
    }
    const levels = new Map(getLevels(content as ConfigurationFileNode, levelPath));
    const outcome = createConfigurationTree().edit(planConfiguration(new Map(), levels));
    if (outcome.kind === "invalid") {
        return { kind: "invalid", problems: outcome.problems.map(createTreeProblem) };
    }
    return { kind: "read", levels };
}

/** Gets the schema check for files of a kind; it is compiled on first use. */
function getCheck(kind: LevelKind): (value: unknown) => readonly ValueProblem[] {
    const check = compiledChecks.get(kind)
        ?? createSchemaCheck(getConfigurationFileSchema(kind), { fillsDefaults: false });
    compiledChecks.set(kind, check);
    return check;
}

function createInvalidOutcome(problem: ValueProblem): ConfigurationFileOutcome {
    return { kind: "invalid", problems: [problem] };
}

function createTreeProblem(problem: string): ValueProblem {
    return { path: "", found: problem, expected: "a tree that can be accepted as a whole" };
}

/** Lists a level and its descendants, each level after its parent. */
function getLevels(node: ConfigurationFileNode, levelPath: string): readonly (readonly [string, LevelSettings])[] {
    const childrenName = getChildrenPropertyName(getLevelKind(levelPath)!);
    const children = childrenName === undefined ? {} : node[childrenName] ?? {};
    const descendants = Object.entries(children).flatMap(([name, child]) => {
        return getLevels(child, getChildLevelPath(levelPath, name));
    });
    return [[levelPath, node.settings ?? {}], ...descendants];
}
