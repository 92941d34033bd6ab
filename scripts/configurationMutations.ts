/*
 * The rules of the configuration tree and its commands that the mutation check breaks, one at a time.
 */
import { Mutation } from "./Mutation";

const tree = "control/configuration";
const operators = "control/operators";

/** The mutations. */
export const configurationMutations: readonly Mutation[] = [
    {
        rule: "A view never takes an older revision",
        file: `${tree}/createConfigurationView.ts`,
        originalText: "if (newRevision < revision) {",
        replacement: "if (newRevision < 0n) {",
    },
    {
        rule: "A view takes only the delta that follows",
        file: `${tree}/createConfigurationView.ts`,
        originalText: "if (delta.revision !== revision + 1n) {",
        replacement: "if (delta.revision === 0n) {",
    },
    {
        rule: "A view's settings are worked out again at each revision",
        file: `${tree}/createConfigurationView.ts`,
        originalText: "cache.clear();",
        replacement: "",
    },
    {
        rule: "A view refuses a snapshot that it can't read",
        file: `${tree}/createConfigurationView.ts`,
        originalText: "if (wrongLevel !== undefined) {",
        replacement: "if (wrongLevel?.length === 0) {",
    },
    {
        rule: "A change needs the newest revision",
        file: `${tree}/createConfigurationPart.ts`,
        originalText: "if (expectedRevision !== revision) {",
        replacement: "if (expectedRevision > revision) {",
    },
    {
        rule: "The first answer to a change is kept",
        file: `${tree}/createConfigurationPart.ts`,
        originalText: "changeOutcomes.addOutcome({ changeId, contentDigest, outcome });",
        replacement: "",
    },
    {
        rule: "Kept answers are in snapshots",
        file: `${tree}/createConfigurationPart.ts`,
        originalText: "changeOutcomes.replaceOutcomes(state.changeOutcomes);",
        replacement: "",
    },
    {
        rule: "An id stands for one content",
        file: `${tree}/createConfigurationPart.ts`,
        originalText: "if (stored.contentDigest !== contentDigest) {",
        replacement: "if (stored.contentDigest === \"\") {",
    },
    {
        rule: "The history is in snapshots",
        file: `${tree}/createConfigurationPart.ts`,
        originalText: "history.replaceEntries(state.history);",
        replacement: "",
    },
    {
        rule: "An invalid change does nothing",
        file: `${tree}/createTreeEdit.ts`,
        originalText: "return problems.length > 0 ? { kind: \"invalid\", problems } : { kind: \"edited\", changes };",
        replacement: "return { kind: \"edited\", changes };",
    },
    {
        rule: "A key names one subscriber",
        file: `${tree}/createTreeEdit.ts`,
        originalText: "            checkKeys(changes);",
        replacement: "",
    },
    {
        rule: "What a change did does not depend on the order of a member's own map",
        file: `${tree}/createTreeEdit.ts`,
        originalText: ".sort(([first], [second]) => compareLevelPaths(first, second))",
        replacement: "",
    },
    {
        rule: "A key that moves within a change stays with its new subscriber",
        file: `${tree}/createConfigurationTree.ts`,
        originalText: "if (subscribersByDigest.get(digest) === level) {",
        replacement: "if (subscribersByDigest.has(digest)) {",
    },
    {
        rule: "A level goes with all below it",
        file: `${tree}/getSubtreePaths.ts`,
        originalText: "path === levelPath || isLevelBelow(path, levelPath)",
        replacement: "path === levelPath && !isLevelBelow(path, levelPath)",
    },
    {
        rule: "A level overrides what it inherits",
        file: `${tree}/computeEffectiveSettings.ts`,
        originalText: "            values[group] = value;\n            continue;",
        replacement: "            values[group] ??= value;\n            continue;",
    },
    {
        rule: "A workspace carries the limits of the root",
        file: `${tree}/computeEffectiveSettings.ts`,
        originalText: "kind === LevelKind.Workspace ? values.limits : own.limits",
        replacement: "own.limits",
    },
    {
        rule: "Deltas have no gap",
        file: `${tree}/createConfigurationHistory.ts`,
        originalText: "|| requestedCount > entries.length",
        replacement: "",
    },
    {
        rule: "Applying a file removes what is not in it",
        file: `${tree}/planConfiguration.ts`,
        originalText: "return create(ConfigurationOperationSchema, { level, removeLevel: true });\n    });",
        replacement: "return create(ConfigurationOperationSchema, { level, removeLevel: true });\n    }).slice(0, 0);",
    },
    {
        rule: "A part that a snapshot does not hold is emptied",
        file: "control/createControlState.ts",
        originalText: "snapshots.get(part.name) ?? initialSnapshots.get(part.name)!",
        replacement: "snapshots.get(part.name) ?? part.takeSnapshot()",
    },
    {
        rule: "Readers do not change",
        file: `${operators}/createOperatorHandler.ts`,
        originalText: "found.route.role === OperatorRole.Change && role !== OperatorRole.Change",
        replacement: "found.route.role !== OperatorRole.Read && role === OperatorRole.Change && operatorName === \"\"",
    },
    {
        rule: "An address that fails often has to wait",
        file: `${operators}/createOperatorAuthentication.ts`,
        originalText: "failures.addUse(remoteAddress);",
        replacement: "",
    },
    {
        rule: "A call that may have run is sent again only where that does no harm",
        file: "commands/createOperatorClient.ts",
        originalText: "if (!isRepeatable(call)) {",
        replacement: "if (call.path === \"\") {",
    },
    {
        rule: "A token goes over plain HTTP to no other machine",
        file: "commands/readOperatorLogin.ts",
        originalText: "if (plainAddress !== undefined && !allowsPlain) {",
        replacement: "if (plainAddress === \"\" && !allowsPlain) {",
    },
    {
        rule: "A listener off loopback needs TLS or leave",
        file: "settings/getRelationProblems.ts",
        originalText: "|| isLoopbackAddress(listener.address)",
        replacement: "|| listener.address !== \"\"",
    },
    {
        rule: "What may be a secret is not shown",
        file: "settings/validation/showFoundValue.ts",
        originalText: "secretNamePattern.test(path)",
        replacement: "path === \"\"",
    },
];
