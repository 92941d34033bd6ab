/*
 * The rollout part of the replicated state behind a control client that may lose commands and responses.
 */
import { create } from "@bufbuild/protobuf";
import { ControlClient, ExecuteResult, QueryResult } from "../../../src/control";
import { createRolloutPart, RolloutPart } from "../../../src/control/placement";
import { Command, CommandResultSchema, QueryKind } from "../../../src/protocol";
import { Clock, RandomSource } from "../../../src/runtime";

/** A replicated log of one part, without other members. */
export interface TestControl {
    part: RolloutPart;
    /** Creates a client; its commands are not committed while it is partitioned. */
    createClient(isPartitioned: () => boolean): ControlClient;
    /** Begins a new term with a state restored from a snapshot. */
    changeLeader(): void;
}

/** Creates the log with an empty rollout part. */
export function createTestControl(
    clock: Clock,
    random: RandomSource,
    getFaults: () => { loss: number; delayMilliseconds: number; },
): TestControl {
    const part = createRolloutPart();
    let term = 1n;
    let index = 0n;
    return { part, createClient, changeLeader };

    function createClient(isPartitioned: () => boolean): ControlClient {
        return { execute, query };

        async function execute(command: Command): Promise<ExecuteResult> {
            const { loss, delayMilliseconds } = getFaults();
            await clock.sleep(random.getInteger(delayMilliseconds + 1));
            if (isPartitioned()) {
                return { kind: "notCommitted", reason: "no leader" };
            }
            if (random.getFraction() < loss) {
                return { kind: "unknown", reason: "lost before the commit" };
            }
            index += 1n;
            const result = part.apply(command, { term, index, timeMilliseconds: clock.getWallMilliseconds() });
            await clock.sleep(random.getInteger(delayMilliseconds + 1));
            if (random.getFraction() < loss) {
                return { kind: "unknown", reason: "lost after the commit" };
            }
            return { kind: "committed", result: create(CommandResultSchema, { result }) };
        }

        async function query(kind: QueryKind, argument: string): Promise<QueryResult> {
            const { loss, delayMilliseconds } = getFaults();
            await clock.sleep(random.getInteger(delayMilliseconds + 1));
            if (isPartitioned() || random.getFraction() < loss) {
                return { kind: "unreachable", reason: "lost" };
            }
            const value = part.query(kind, argument);
            await clock.sleep(random.getInteger(delayMilliseconds + 1));
            return { kind: "answered", index, value };
        }
    }

    function changeLeader(): void {
        term += 1n;
        index += 1n;
        part.restoreSnapshot(part.takeSnapshot());
    }
}
