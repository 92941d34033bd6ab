/*
 * The replicated state of rollouts behind a control client that may lose commands and answers.
 */
import { create } from "@bufbuild/protobuf";
import { ControlClient, ExecuteResult, QueryResult } from "../../../src/control";
import { createRolloutPart, RolloutPart } from "../../../src/control/placement";
import { Command, CommandResultSchema, QueryKind } from "../../../src/protocol";
import { Clock, RandomSource } from "../../../src/runtime";

/** A log with one applied state. */
export interface TestControl {
    part: RolloutPart;
    /** Gets a client; commands are not committed while it is cut off. */
    createClient(isPartitioned: () => boolean): ControlClient;
    /** Begins a new term with a state restored from a snapshot. */
    changeLeader(): void;
}

/** Creates the log. */
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
            if (random.getUnit() < loss) {
                return { kind: "unknown", reason: "lost before the commit" };
            }
            index += 1n;
            const result = part.apply(command, { term, index, timeMilliseconds: clock.getWallMilliseconds() });
            await clock.sleep(random.getInteger(delayMilliseconds + 1));
            if (random.getUnit() < loss) {
                return { kind: "unknown", reason: "lost after the commit" };
            }
            return { kind: "committed", result: create(CommandResultSchema, { result }) };
        }

        async function query(kind: QueryKind, argument: string): Promise<QueryResult> {
            const { loss, delayMilliseconds } = getFaults();
            await clock.sleep(random.getInteger(delayMilliseconds + 1));
            if (isPartitioned() || random.getUnit() < loss) {
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
