/*
 * The mutations of the configuration tree and its commands, each of which breaks one rule.
 */
import { Mutation } from "./Mutation";

const tree = "control/configuration";
const operators = "control/operators";

/** The mutations that checkConfigurationMutations applies, one at a time. */
export const configurationMutations: readonly Mutation[] = [
    {
        rule: "A view never applies an older revision",
        file: `${tree}/createConfigurationView.ts`,
        originalText: "if (newRevision < revision) {",
        replacement: "if (newRevision < 0n) {",
    },
    {
        rule: "A view applies only the delta of the next revision",
        file: `${tree}/createConfigurationView.ts`,
        originalText: "if (delta.revision !== revision + 1n) {",
        replacement: "if (delta.revision === 0n) {",
    },
    {
        rule: "A view computes the effective settings again at each revision",
        file: `${tree}/createConfigurationView.ts`,
        originalText: "cache.clear();",
        replacement: "",
    },
    {
        rule: "A view rejects a snapshot that it can't parse",
        file: `${tree}/createConfigurationView.ts`,
        originalText: "if (wrongLevel !== undefined) {",
        replacement: "if (wrongLevel?.length === 0) {",
    },
    {
        rule: "A change is accepted only if it expects the newest revision",
        file: `${tree}/createConfigurationPart.ts`,
        originalText: "if (expectedRevision !== revision) {",
        replacement: "if (expectedRevision > revision) {",
    },
    {
        rule: "The first outcome of a change is stored",
        file: `${tree}/createConfigurationPart.ts`,
        originalText: "changeOutcomes.addOutcome({ changeId, contentDigest, outcome });",
        replacement: "",
    },
    {
        rule: "Snapshots contain the stored outcomes of changes",
        file: `${tree}/createConfigurationPart.ts`,
        originalText: "changeOutcomes.replaceOutcomes(state.changeOutcomes);",
        replacement: "",
    },
    {
        rule: "A change id identifies one content",
        file: `${tree}/createConfigurationPart.ts`,
        originalText: "if (stored.contentDigest !== contentDigest) {",
        replacement: "if (stored.contentDigest === \"\") {",
    },
    {
        rule: "Snapshots contain the history",
        file: `${tree}/createConfigurationPart.ts`,
        originalText: "history.replaceEntries(state.history);",
        replacement: "",
    },
    {
        rule: "An invalid change has no effect",
        file: `${tree}/createTreeEdit.ts`,
        originalText: "return problems.length > 0 ? { kind: \"invalid\", problems } : { kind: \"edited\", changes };",
        replacement: "return { kind: \"edited\", changes };",
    },
    {
        rule: "An API key identifies one subscriber",
        file: `${tree}/createTreeEdit.ts`,
        originalText: "            checkKeys(changes);",
        replacement: "",
    },
    {
        rule: "The result of a change does not depend on the iteration order of a member's map",
        file: `${tree}/createTreeEdit.ts`,
        originalText: ".sort(([first], [second]) => compareLevelPaths(first, second))",
        replacement: "",
    },
    {
        rule: "A key that a change moves to another subscriber stays with that subscriber",
        file: `${tree}/createConfigurationTree.ts`,
        originalText: "if (subscribersByDigest.get(digest) === level) {",
        replacement: "if (subscribersByDigest.has(digest)) {",
    },
    {
        rule: "Removing a level removes all levels below it",
        file: `${tree}/getSubtreePaths.ts`,
        originalText: "path === levelPath || isLevelBelow(path, levelPath)",
        replacement: "path === levelPath && !isLevelBelow(path, levelPath)",
    },
    {
        rule: "A level overrides inherited settings",
        file: `${tree}/computeEffectiveSettings.ts`,
        originalText: "            values[group] = value;\n            continue;",
        replacement: "            values[group] ??= value;\n            continue;",
    },
    {
        rule: "A workspace inherits the limits of the root",
        file: `${tree}/computeEffectiveSettings.ts`,
        originalText: "kind === LevelKind.Workspace ? values.limits : own.limits",
        replacement: "own.limits",
    },
    {
        rule: "A sequence of deltas has no gap",
        file: `${tree}/createConfigurationHistory.ts`,
        originalText: "|| requestedCount > entries.length",
        replacement: "",
    },
    {
        rule: "Applying a file removes the levels that it does not contain",
        file: `${tree}/planConfiguration.ts`,
        originalText: "return create(ConfigurationOperationSchema, { level, removeLevel: true });\n    });",
        replacement: "return create(ConfigurationOperationSchema, { level, removeLevel: true });\n    }).slice(0, 0);",
    },
    {
        rule: "A part of the state that a snapshot does not contain is reset to its initial state",
        file: "control/createControlState.ts",
        originalText: "snapshots.get(part.name) ?? initialSnapshots.get(part.name)!",
        replacement: "snapshots.get(part.name) ?? part.takeSnapshot()",
    },
    {
        rule: "An operator with the read role can't change the configuration",
        file: `${operators}/createOperatorHandler.ts`,
        originalText: "routeMatch.route.role === OperatorRole.Change && role !== OperatorRole.Change",
        replacement:
            "routeMatch.route.role !== OperatorRole.Read && role === OperatorRole.Change && operatorName === \"\"",
    },
    {
        rule: "An address with many failed authentications is rate limited",
        file: `${operators}/createOperatorAuthentication.ts`,
        originalText: "failureLimiter.addUse(remoteAddress);",
        replacement: "",
    },
    {
        rule: "A call that may have run is repeated only if it is safe to repeat",
        file: "commands/createOperatorClient.ts",
        originalText: "if (!isRepeatable(call)) {",
        replacement: "if (call.path === \"\") {",
    },
    {
        rule: "A token is not sent to another machine over plain HTTP",
        file: "commands/readOperatorConnection.ts",
        originalText: "if (plainAddress !== undefined && !allowsPlain) {",
        replacement: "if (plainAddress === \"\" && !allowsPlain) {",
    },
    {
        rule: "A listener on a non-loopback address needs TLS or explicit permission for plain HTTP",
        file: "settings/getRelationProblems.ts",
        originalText: "|| isLoopbackAddress(listener.address)",
        replacement: "|| listener.address !== \"\"",
    },
    {
        rule: "A value that may be a secret is not shown",
        file: "settings/validation/showFoundValue.ts",
        originalText: "secretNamePattern.test(path)",
        replacement: "path === \"\"",
    },
];
