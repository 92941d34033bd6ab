/*
 * The configuration tree as a part of the replicated state machine. It is deterministic: its state depends only on the
 * commands and their positions in the log, so that it is the same at every control member.
 */
import { create } from "@bufbuild/protobuf";
import {
    Command,
    CommandResult,
    ConfigurationChange,
    ConfigurationDelta,
    ConfigurationSnapshot,
    ConfigurationSnapshotSchema,
    QueryKind,
} from "../../protocol";
import { ApplyContext } from "../consensus";
import { createEventHistory } from "../createEventHistory";
import { EventKind } from "../EventKind";
import { ChangeOutcome } from "./ChangeOutcome";
import { ConfigurationPart } from "./ConfigurationPart";
import { createChangeOutcomeStore } from "./createChangeOutcomeStore";
import { createChangeResult } from "./createChangeResult";
import { createConfigurationDelta } from "./createConfigurationDelta";
import { createConfigurationHistory } from "./createConfigurationHistory";
import { createConfigurationQueries } from "./createConfigurationQueries";
import { createConfigurationTree } from "./createConfigurationTree";
import { createEffectiveSettingsCache } from "./createEffectiveSettingsCache";
import { createNullPrototypeObject } from "./createNullPrototypeObject";
import { decodeConfigurationPartState } from "./decodeConfigurationPartState";
import { encodeConfigurationPartState } from "./encodeConfigurationPartState";
import { getChangeDigest } from "./getChangeDigest";
import { getChangeFormatProblem } from "./getChangeFormatProblem";
import { getConflictProblems } from "./getConflictProblems";

const maximumRetainedEvents = 500;

/** Creates the part with an empty tree at revision 0. */
export function createConfigurationPart(): ConfigurationPart {
    const tree = createConfigurationTree();
    const cache = createEffectiveSettingsCache(tree);
    const history = createConfigurationHistory();
    const changeOutcomes = createChangeOutcomeStore();
    const events = createEventHistory(maximumRetainedEvents);
    const listeners = new Set<(revision: bigint) => void>();
    const queries = createConfigurationQueries({ tree, cache, history, getRevision: () => revision });
    let revision = 0n;
    let cachedSnapshot: ConfigurationSnapshot | undefined;
    return {
        name: "configuration",
        apply,
        query,
        takeSnapshot,
        restoreSnapshot,
        getRevision: () => revision,
        getSnapshot,
        getDeltasSince,
        addListener,
        getEvents: events.getEvents,
    };

    function apply(command: Command, context: ApplyContext): CommandResult["result"] | undefined {
        if (command.command.case !== "configuration") {
            return undefined;
        }
        const outcome = handleChange(command.command.value, context);
        return { case: "configuration", value: createChangeResult(outcome) };
    }

    /** Returns the stored outcome if the change has been handled before; applies any other change. */
    function handleChange(change: ConfigurationChange, context: ApplyContext): ChangeOutcome {
        const formatProblem = getChangeFormatProblem(change);
        if (formatProblem !== undefined) {
            return { kind: "invalid", revision, problems: [formatProblem] };
        }
        const { changeId } = change;
        const contentDigest = getChangeDigest(change);
        const stored = changeOutcomes.getOutcome(changeId);
        if (stored === undefined) {
            const outcome = applyChange(change, context);
            changeOutcomes.addOutcome({ changeId, contentDigest, outcome });
            return outcome;
        }
        if (stored.contentDigest !== contentDigest) {
            return { kind: "invalid", revision, problems: [`the id ${changeId} was used for another change`] };
        }
        return stored.outcome;
    }

    function applyChange(change: ConfigurationChange, context: ApplyContext): ChangeOutcome {
        const { expectedRevision, operations, changeId, author } = change;
        if (expectedRevision !== revision) {
            const entries = history.getEntriesSince(expectedRevision);
            return { kind: "conflict", revision, problems: getConflictProblems(tree, operations, entries) };
        }
        const outcome = tree.edit(operations);
        if (outcome.kind === "invalid") {
            return { kind: "invalid", revision, problems: outcome.problems };
        }
        const { timeMilliseconds } = context;
        const newRevision = revision + 1n;
        history.addEntry({ revision: newRevision, changeId, author, timeMilliseconds, changes: outcome.changes });
        const levels = outcome.changes.length === 1 ? "1 level" : `${outcome.changes.length} levels`;
        const text = `revision ${newRevision} by ${author} changed ${levels}`;
        events.addEvent(context, EventKind.ConfigurationChanged, outcome.changes[0]?.level ?? "/", text);
        setRevision(newRevision);
        return { kind: "accepted", revision };
    }

    function setRevision(newRevision: bigint): void {
        revision = newRevision;
        cachedSnapshot = undefined;
        cache.clear();
        [...listeners].forEach(listener => listener(newRevision));
    }

    function query(kind: QueryKind, argument: string): unknown {
        switch (kind) {
            case QueryKind.CONFIGURATION:
                return queries.getConfiguration(argument);
            case QueryKind.HISTORY:
                return queries.getHistory(argument);
            default:
                return undefined;
        }
    }

    function takeSnapshot(): Uint8Array {
        return encodeConfigurationPartState({
            revision,
            levels: tree.getLevels(),
            history: history.getEntries(),
            changeOutcomes: changeOutcomes.getOutcomes(),
            events: events.getEvents(),
        });
    }

    function restoreSnapshot(snapshot: Uint8Array): void {
        const state = decodeConfigurationPartState(snapshot);
        tree.replaceLevels(state.levels);
        history.replaceEntries(state.history);
        changeOutcomes.replaceOutcomes(state.changeOutcomes);
        events.replaceEvents(state.events);
        setRevision(state.revision);
    }

    function getSnapshot(): ConfigurationSnapshot {
        cachedSnapshot ??= create(ConfigurationSnapshotSchema, {
            revision,
            levels: createNullPrototypeObject(tree.getLevels()),
        });
        return cachedSnapshot;
    }

    function getDeltasSince(knownRevision: bigint): ConfigurationDelta[] | undefined {
        if (knownRevision === revision) {
            return [];
        }
        return history.getEntriesSince(knownRevision)?.map(createConfigurationDelta);
    }

    function addListener(listener: (revision: bigint) => void): () => void {
        listeners.add(listener);
        return () => listeners.delete(listener);
    }
}
